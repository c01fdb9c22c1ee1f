//! Queries of the service-level objectives (SLOs) by class and kind.

use super::Settings;
use std::time::Duration;

impl Settings {
    /// Returns whether the class has any service-level objective.
    pub fn has_objective(&self, class: &str) -> bool {
        self.platform.params.objectives.iter().any(|o| o.class.as_deref() == Some(class))
    }

    /// Returns the tightest completion objective of a class: seconds from acceptance to the end of a job.
    pub fn finish_objective(&self, class: &str) -> Option<f64> {
        let objectives = self.platform.params.objectives.iter();
        let matching =
            objectives.filter(|o| o.kind == "finished" && o.class.as_deref() == Some(class));
        matching.filter_map(|o| o.within_s).min_by(f64::total_cmp)
    }

    /// Returns whether jobs of the class have the objective to complete by their due time.
    pub fn has_deadline(&self, class: &str) -> bool {
        let mut objectives = self.platform.params.objectives.iter();
        objectives.any(|o| o.kind == "deadline" && o.class.as_deref() == Some(class))
    }

    /// Returns the start objectives of a class: seconds within which its jobs must start.
    pub fn start_objectives(&self, class: &str) -> impl Iterator<Item = f64> {
        self.platform
            .params
            .objectives
            .iter()
            .filter(move |o| o.kind == "wait" && o.class.as_deref() == Some(class))
            .filter_map(|o| o.within_s)
    }

    /// Returns the seconds within which tasks inside their team's guarantee must start.
    pub fn guarantee_start_objective(&self) -> Option<f64> {
        let objectives = &self.platform.params.objectives;
        objectives.iter().filter(|o| o.kind == "guarantee").find_map(|o| o.within_s)
    }

    /// Returns the number of start objectives of its class that a job has missed after waiting for `waited`.
    pub fn missed_start_objectives(&self, class: &str, waited: Duration) -> usize {
        self.start_objectives(class).filter(|within_s| waited.as_secs_f64() > *within_s).count()
    }

    /// Returns the tightest start objective of a class, in seconds.
    pub fn tightest_start_objective(&self, class: &str) -> Option<f64> {
        self.start_objectives(class).min_by(f64::total_cmp)
    }
}
