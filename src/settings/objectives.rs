//! Service-level objectives, as the scheduler asks for them.

use super::Settings;
use std::time::Duration;

impl Settings {
    /// Whether the class has any service-level objective.
    pub fn has_objective(&self, class: &str) -> bool {
        self.platform.params.objectives.iter().any(|o| o.class.as_deref() == Some(class))
    }

    /// Seconds after their acceptance within which a class's jobs are to finish.
    pub fn finish_objective(&self, class: &str) -> Option<f64> {
        let objectives = self.platform.params.objectives.iter();
        let ours = objectives.filter(|o| o.kind == "finished" && o.class.as_deref() == Some(class));
        ours.filter_map(|o| o.within_s).min_by(f64::total_cmp)
    }

    /// Whether jobs of the class are to be done by their due time.
    pub fn has_deadline(&self, class: &str) -> bool {
        let mut objectives = self.platform.params.objectives.iter();
        objectives.any(|o| o.kind == "deadline" && o.class.as_deref() == Some(class))
    }

    /// Seconds within which a class's jobs are to start, by each of its objectives.
    pub fn start_objectives(&self, class: &str) -> impl Iterator<Item = f64> {
        self.platform
            .params
            .objectives
            .iter()
            .filter(move |o| o.kind == "wait" && o.class.as_deref() == Some(class))
            .filter_map(|o| o.within_s)
    }

    /// Seconds within which work within a guarantee is to start.
    pub fn guarantee_start_objective(&self) -> Option<f64> {
        let objectives = &self.platform.params.objectives;
        objectives.iter().filter(|o| o.kind == "guarantee").find_map(|o| o.within_s)
    }

    /// How many start objectives of its class a job has missed that has waited this long.
    pub fn missed_start_objectives(&self, class: &str, waited: Duration) -> usize {
        self.start_objectives(class).filter(|within_s| waited.as_secs_f64() > *within_s).count()
    }

    /// The tightest start objective of a class, in seconds.
    pub fn tightest_start_objective(&self, class: &str) -> Option<f64> {
        self.start_objectives(class).min_by(f64::total_cmp)
    }
}
