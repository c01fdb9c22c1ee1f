//! Computes an upper bound on the demand of each class that any scheduler could have served on a logged day.
//!
//! A linear program over time slots divides the capacity of ordinary and of spot machines among groups. A service
//! cannot be served more than its replicas, and an array cannot be served more work than has arrived. The program
//! ignores task granularity, boots, image fetches, zones and priorities, and assumes the maximum number of machines
//! for the whole day, so its result is an upper bound. Demand is the leader's own estimate (for arrays, from expected
//! run times).

use crate::constants::SLOT_S;
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOutcome, Variable};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use troutspindle_protocol::operator_api::{DEMAND_FIELD, DemandLog, GroupDemand};

/// Failure to compute the bound.
#[derive(Debug, thiserror::Error)]
pub enum BoundError {
    #[error("cannot read {0}: {1}; give log files of controllers")]
    Read(String, std::io::Error),
    #[error(
        "no line `demand by class and team` in {0}; controllers must log at level info with `floor` set"
    )]
    Nothing(String),
    #[error("the linear program has no solution: {0}")]
    Unsolved(#[from] microlp::Error),
    #[error("the solver did not finish; try logs of fewer hours")]
    Unfinished,
}

/// Class and team.
type Group = (String, String);

/// Demand and allocation of each group in one slot.
#[derive(Debug, Clone, Default)]
pub struct Slot {
    /// Sums of demand and of allocated machines over the log lines of the slot.
    groups: BTreeMap<Group, (f64, f64)>,
    /// Number of log lines in the slot.
    lines: f64,
}

/// Demand, allocation and capacity of one day, read from controllers' logs.
#[derive(Debug, Default)]
pub struct Day {
    slots: Vec<Slot>,
    /// Maximum number of ordinary machines in any line.
    ordinary: f64,
    /// Maximum number of spot machines in any line.
    spot: f64,
    last: DemandLog,
    /// Flags of each group: it is a service, and it uses only ordinary machines.
    group_flags: BTreeMap<Group, (bool, bool)>,
}

impl Day {
    /// Adds a leader's log line, `at_s` seconds after the first one. Ignores lines of former leaders. Leaders count
    /// array work from the start of their term, so the first line of a new leader counts in full.
    pub fn add(&mut self, at_s: f64, line: &DemandLog) {
        if line.token < self.last.token {
            return;
        }
        let is_same_leader = line.token == self.last.token;
        let previous_groups = std::mem::replace(&mut self.last, line.clone()).groups;
        self.ordinary = self.ordinary.max(line.ordinary);
        self.spot = self.spot.max(line.spot);
        let slot = (at_s / SLOT_S) as usize;
        if self.slots.len() <= slot {
            self.slots.resize(slot + 1, Slot::default());
        }
        let slot = &mut self.slots[slot];
        slot.lines += 1.0;
        for group in &line.groups {
            let is_same_group =
                |other: &&GroupDemand| (&other.class, &other.team) == (&group.class, &group.team);
            let arrived_before = previous_groups
                .iter()
                .find(is_same_group)
                .filter(|_| is_same_leader)
                .map_or(0.0, |group| group.arrived);
            let asked = if group.service {
                group.allocated + group.waiting
            } else {
                group.arrived - arrived_before
            };
            let name = |group: &GroupDemand| (group.class.clone(), group.team.clone());
            let sums = slot.groups.entry(name(group)).or_default();
            sums.0 += asked;
            sums.1 += group.allocated;
            let (service, ordinary) = self.group_flags.entry(name(group)).or_insert((true, true));
            *service &= group.service;
            *ordinary &= group.ordinary;
        }
    }

    /// Returns the mean demand and the mean allocation of a group in a slot, in machines. In a slot without log lines,
    /// services are taken to be as in the slot before, and arrays to have no new work.
    fn demand_and_allocation(&self, slot: usize, group: &Group) -> (f64, f64) {
        let latest = self.slots[..=slot].iter().rev().find(|slot| slot.lines > 0.0);
        let sums = latest.and_then(|slot| Some((slot.lines, *slot.groups.get(group)?)));
        let (lines, (asked, allocated)) = sums.unwrap_or((1.0, (0.0, 0.0)));
        let asked = match self.group_flags[group] {
            (true, _) => asked / lines,
            (false, _) if self.slots[slot].lines > 0.0 => asked / SLOT_S,
            _ => 0.0,
        };
        (asked, allocated / lines)
    }
}

/// Reads the demand lines of all controllers' logs. Only the leader writes them.
///
/// # Errors
/// A file cannot be read, or no file has a demand line.
pub fn read(logs: &[PathBuf]) -> Result<Day, BoundError> {
    let name = |path: &Path| path.display().to_string();
    let mut day = Day::default();
    let mut first_s: Option<f64> = None;
    for path in logs {
        let text = std::fs::read_to_string(path).map_err(|e| BoundError::Read(name(path), e))?;
        for line in text.lines() {
            let Some((before, json)) = line.split_once(DEMAND_FIELD) else { continue };
            let mut lines = serde_json::Deserializer::from_str(json).into_iter::<DemandLog>();
            let (Some(Ok(demand)), Some(at_s)) = (lines.next(), clock_s(before)) else { continue };
            let first_s = *first_s.get_or_insert(at_s);
            day.add((at_s - first_s).max(0.0), &demand);
        }
    }
    if day.slots.is_empty() {
        let names: Vec<String> = logs.iter().map(|path| name(path)).collect();
        return Err(BoundError::Nothing(names.join(", ")));
    }
    Ok(day)
}

/// Returns the seconds since midnight from the time stamp of a line (`2026-09-21T14:13:20.058006Z`).
fn clock_s(line: &str) -> Option<f64> {
    let stamp = line.split_whitespace().find(|word| word.ends_with('Z') && word.contains('T'))?;
    let (_, clock) = stamp.trim_end_matches('Z').split_once('T')?;
    let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
    let (h, m, s) = (parts.next()??, parts.next()??, parts.next()??);
    Some(h * 3600.0 + m * 60.0 + s)
}

/// Demand of a group, and the shares of it (0 to 1) that were and could have been served.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Share {
    pub class: String,
    pub team: String,
    /// Demand in machine-hours.
    pub asked: f64,
    /// Share of the demand that was served.
    pub served: f64,
    /// Maximum share that could have been served without the demand of other groups.
    pub alone: f64,
}

/// Upper bound for a day, beside the shares that were served.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bound {
    /// Maximum share of its demand that every group could have been served at the same time.
    pub all: f64,
    /// Maximum number of ordinary machines plus maximum number of spot machines.
    pub machines: f64,
    /// Length of the log in hours.
    pub hours: f64,
    pub groups: Vec<Share>,
}

/// Returns the maximum share of its demand that each of these groups can be served at the same time.
fn solve(day: &Day, groups: &[&Group]) -> Result<f64, BoundError> {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let share = problem.add_var(1.0, (0.0, 1.0));
    let mut used: Vec<[Vec<(Variable, f64)>; 2]> = vec![Default::default(); day.slots.len()];
    for group in groups {
        let (service, ordinary) = day.group_flags[*group];
        let asked: Vec<f64> =
            (0..day.slots.len()).map(|n| day.demand_and_allocation(n, group).0).collect();
        let total: f64 = asked.iter().sum();
        let mut served: Vec<(Variable, f64)> = Vec::new();
        let mut arrived = 0.0;
        for (n, asked) in asked.iter().enumerate() {
            arrived += asked;
            let mut slot_capacity = Vec::new();
            for (spot, used) in used[n].iter_mut().enumerate().take(if ordinary { 1 } else { 2 }) {
                let max_machines = if spot == 1 { day.spot } else { day.ordinary };
                let capacity = problem.add_var(0.0, (0.0, max_machines));
                used.push((capacity, 1.0));
                slot_capacity.push((capacity, 1.0));
            }
            if service {
                problem.add_constraint(&slot_capacity[..], ComparisonOp::Le, *asked);
            }
            served.extend(slot_capacity);
            if !service {
                problem.add_constraint(&served[..], ComparisonOp::Le, arrived);
            }
        }
        served.push((share, -total));
        problem.add_constraint(&served[..], ComparisonOp::Ge, 0.0);
    }
    for [ordinary, spot] in &used {
        problem.add_constraint(&ordinary[..], ComparisonOp::Le, day.ordinary);
        problem.add_constraint(&spot[..], ComparisonOp::Le, day.spot);
    }
    match problem.solve()? {
        SolveOutcome::Solution(found) => Ok(found.var_value(share)),
        SolveOutcome::Interrupted(_) => Err(BoundError::Unfinished),
    }
}

/// Compares the share of each group's demand that was served with the share that could have been.
///
/// # Errors
/// The linear program has no solution, or the solver did not finish.
pub fn bound(day: &Day) -> Result<Bound, BoundError> {
    let hours = SLOT_S / 3600.0;
    let asked = |group: &Group| {
        (0..day.slots.len()).map(|n| day.demand_and_allocation(n, group).0).sum::<f64>()
    };
    let all: Vec<&Group> = day.group_flags.keys().filter(|group| asked(group) > 0.0).collect();
    let mut groups = Vec::new();
    for group in &all {
        let allocated: f64 =
            (0..day.slots.len()).map(|n| day.demand_and_allocation(n, group).1).sum();
        groups.push(Share {
            class: group.0.clone(),
            team: group.1.clone(),
            asked: asked(group) * hours,
            served: allocated / asked(group),
            alone: solve(day, &[group])?,
        });
    }
    let all = solve(day, &all)?;
    let machines = day.ordinary + day.spot;
    Ok(Bound { all, machines, hours: day.slots.len() as f64 * hours, groups })
}

/// Formats the bound for people.
pub fn text(bound: &Bound) -> String {
    let mut text = format!(
        "{:.2} h, {:.0} machines at the most; all groups at once could have got {:.2}\n",
        bound.hours, bound.machines, bound.all
    );
    for group in &bound.groups {
        let Share { class, team, asked, served, alone } = group;
        text += &format!(
            "{class} of {team}: asked {asked:.1} machine-hours, served {served:.2}, alone {alone:.2}\n"
        );
    }
    text
}

#[cfg(test)]
mod tests;
