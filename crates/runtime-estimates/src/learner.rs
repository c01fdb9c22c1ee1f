//! Which history is like a job, what it says, and how sure that is.

use crate::constants::*;
use crate::current::{Centre, Current};
use crate::history::{Believed, Run};
use crate::keeper::Keeper;
use crate::shape;
use crate::value::hash;

/// What is known of a job before it runs.
#[derive(Debug, Clone, Copy)]
pub struct Profile<'a> {
    pub job: &'a str,
    pub class: &'a str,
    pub team: &'a str,
    pub image: &'a str,
    /// Of one task, in any units that stay the same: CPUs, GPUs, memory.
    pub size: [u64; 3],
    /// The owner's estimate of a task's run time, in seconds; 0 for none.
    pub expect_s: f64,
    pub tasks: u64,
}

/// Which jobs an estimate rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Of the same class, team, image and size.
    Exact,
    Team,
    Class,
    /// None like it: the owner's estimate, with what is known of its team's.
    Owner,
}

/// How far an estimate can be trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grade {
    /// No job like it has ended.
    Unknown,
    /// Too few ended, or they differ too much.
    Thin,
    Sure,
}

/// What a job's tasks take, in the mean over its tasks.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    pub grade: Grade,
    pub level: Level,
    /// Seconds.
    pub p10_s: f64,
    pub p50_s: f64,
    pub p90_s: f64,
    /// For what is derived from it: where run times lie.
    pub centre: Centre,
}

impl Profile<'_> {
    fn key(&self, level: Level) -> u64 {
        let [a, b, c] = self.size.map(u64::to_le_bytes);
        match level {
            Level::Exact => hash(&[
                b"exact",
                self.class.as_bytes(),
                self.team.as_bytes(),
                self.image.as_bytes(),
                &a,
                &b,
                &c,
            ]),
            Level::Team => hash(&[b"team", self.class.as_bytes(), self.team.as_bytes()]),
            Level::Class => hash(&[b"class", self.class.as_bytes()]),
            Level::Owner => hash(&[b"owner", self.team.as_bytes()]),
        }
    }

    fn owner(&self) -> Option<f64> {
        (self.expect_s > 0.0).then(|| shape::ln(self.expect_s)).flatten()
    }
}

/// All that was learned.
#[derive(Debug, Default)]
pub struct Learner {
    pub keeper: Keeper,
}

impl Learner {
    fn believe(&self, profile: &Profile, hour: u32) -> Option<(Level, Believed)> {
        let owner = profile.owner();
        let mut best: Option<(Level, Believed)> = None;
        for level in [Level::Exact, Level::Team, Level::Class] {
            let key = profile.key(level);
            let Some(found) = self.keeper.look(key, |known| known.believe(hour, owner)).flatten()
            else {
                continue;
            };
            if best.is_none_or(|(_, other)| found.sd < other.sd) {
                best = Some((level, found));
            }
            if found.runs >= CHANGE_RUNS as f64 {
                break;
            }
        }
        best
    }

    /// The owner's own estimate, made right by how far those of its team were off.
    fn owners(&self, profile: &Profile, hour: u32) -> Option<Believed> {
        let owner = profile.owner()?;
        let bias = self.keeper.look(profile.key(Level::Owner), |known| known.believe(hour, None));
        Some(match bias.flatten() {
            Some(bias) => Believed { ln: owner + bias.ln, ..bias },
            None => {
                Believed { ln: owner, sd: PRIOR_RUN_SD * 2.0, within: PRIOR_TASK_SD, runs: 0.0 }
            }
        })
    }

    /// What a job will take, before it shows anything or with what it has shown. None if there is nothing
    /// to go by.
    pub fn estimate(&self, profile: &Profile, shown: &Current, hour: u32) -> Option<Estimate> {
        let (level, believed) = match self.believe(profile, hour) {
            Some(found) => found,
            None => (Level::Owner, self.owners(profile, hour)?),
        };
        Some(self.graded(level, &believed, shown, profile.tasks))
    }

    fn graded(&self, level: Level, believed: &Believed, shown: &Current, tasks: u64) -> Estimate {
        let centre = shown.centre(believed);
        let (ln, sd) = mean_of_tasks(&centre, tasks);
        let settled = is_settled(level, believed, sd);
        // Once the run shows itself, how far off beliefs were before says little.
        let (p10, p90) = match shown.count() {
            0 => self.keeper.points(usize::from(!settled)),
            _ => (shape::point(0.1), shape::point(0.9)),
        };
        let (low, high) = (ln + p10 * sd, ln + p90 * sd);
        let grade = match level {
            Level::Owner => Grade::Unknown,
            Level::Exact if settled && high - low <= SURE_WIDTH => Grade::Sure,
            _ => Grade::Thin,
        };
        Estimate { grade, level, p10_s: low.exp(), p50_s: ln.exp(), p90_s: high.exp(), centre }
    }

    /// A job's run, or what was seen of it, is over.
    pub fn learn(&mut self, profile: &Profile, shown: &Current, hour: u32) {
        let believed = self.believe(profile, hour);
        let Some((ln, within, tasks)) = shown.summary(believed.as_ref().map(|(_, known)| known))
        else {
            return;
        };
        if let Some((level, known)) = &believed {
            let before = Current::default().centre(known);
            let (expected, sd) = mean_of_tasks(&before, u64::from(tasks));
            let settled = is_settled(*level, known, sd);
            let z = (ln + within * within / 2.0 - expected) / sd;
            self.keeper.add_error(profile.key(Level::Exact), usize::from(!settled), z);
        }
        let id = hash(&[profile.job.as_bytes()]) as u16;
        let owner = profile.owner();
        let run = Run::new(hour, id, tasks, ln, within, owner);
        for level in [Level::Exact, Level::Team, Level::Class] {
            self.keeper.add(profile.key(level), run);
        }
        if let Some(owner) = owner {
            let bias = Run::new(hour, id, tasks, ln - owner, within, None);
            self.keeper.add(profile.key(Level::Owner), bias);
        }
    }
}

/// Whether a belief rests on enough runs that differ little. How far off such beliefs were is counted
/// apart from others.
fn is_settled(level: Level, believed: &Believed, sd: f64) -> bool {
    level == Level::Exact
        && believed.runs >= SURE_RUNS
        && sd * 2.0 * shape::point(0.9) <= SURE_WIDTH
}

/// Logarithm of the mean run time of so many tasks, and its standard deviation.
fn mean_of_tasks(centre: &Centre, tasks: u64) -> (f64, f64) {
    let own = centre.within * centre.within;
    let chance = own.exp_m1() / tasks.max(1) as f64;
    (centre.ln + own / 2.0, (centre.sd * centre.sd + chance).sqrt())
}

#[cfg(test)]
mod tests;
