//! What an all-knowing scheduler could have served of each class on a day that was logged.
//!
//! A linear program over slots of time: room of each kind of machine is divided among groups; a service can be served
//! no more than it has replicas, an array no more work than has come. It knows nothing of whole tasks, boots, fetches,
//! zones and priorities, and takes the most machines that were ever there to have been there all day, so it is a bound
//! from above. What was asked is the leader's own reckoning (for arrays, from expected run times).

use crate::constants::SLOT_S;
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOutcome, Variable};
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use troutspindle_protocol::operator_api::{DEMAND_FIELD, DemandLog, GroupDemand};

#[derive(Debug, thiserror::Error)]
pub enum BoundError {
    #[error("{0}: cannot be read: {1}; name logs of controllers")]
    Read(String, std::io::Error),
    #[error("no line `demand by class and team` in {0}: log at level info, with a floor set")]
    Nothing(String),
    #[error("the program has no solution: {0}")]
    Unsolved(#[from] microlp::Error),
    #[error("the solver gave up; a log of fewer hours may do")]
    Unfinished,
}

type Group = (String, String);

/// What was asked and held in one slot, in machines.
#[derive(Debug, Clone, Default)]
pub struct Slot {
    groups: BTreeMap<Group, (f64, f64)>,
    lines: f64,
}

/// A day, as its log tells.
#[derive(Debug, Default)]
pub struct Day {
    slots: Vec<Slot>,
    ordinary: f64,
    spot: f64,
    last: DemandLog,
    /// Whether each group is a service, and whether it uses ordinary machines alone.
    kinds: BTreeMap<Group, (bool, bool)>,
}

impl Day {
    /// Takes in what a leader told at some second of the day. What came of arrays is told since its leadership
    /// began, so a line of a new leader counts from nothing.
    pub fn add(&mut self, at_s: f64, line: &DemandLog) {
        if line.token < self.last.token {
            return;
        }
        let same = line.token == self.last.token;
        let before = std::mem::replace(&mut self.last, line.clone()).groups;
        self.ordinary = self.ordinary.max(line.ordinary);
        self.spot = self.spot.max(line.spot);
        let slot = (at_s / SLOT_S) as usize;
        if self.slots.len() <= slot {
            self.slots.resize(slot + 1, Slot::default());
        }
        let slot = &mut self.slots[slot];
        slot.lines += 1.0;
        for group in &line.groups {
            let alike =
                |other: &&GroupDemand| (&other.class, &other.team) == (&group.class, &group.team);
            let before =
                before.iter().find(alike).filter(|_| same).map_or(0.0, |group| group.arrived);
            let asked = if group.service {
                group.allocated + group.waiting
            } else {
                group.arrived - before
            };
            let name = |group: &GroupDemand| (group.class.clone(), group.team.clone());
            let sums = slot.groups.entry(name(group)).or_default();
            sums.0 += asked;
            sums.1 += group.allocated;
            let (service, ordinary) = self.kinds.entry(name(group)).or_insert((true, true));
            *service &= group.service;
            *ordinary &= group.ordinary;
        }
    }

    /// What a group asked for and held in a slot, on average. Where nobody told, services are taken to be as in
    /// the slot before, and of arrays nothing came.
    fn told(&self, slot: usize, group: &Group) -> (f64, f64) {
        let told = self.slots[..=slot].iter().rev().find(|slot| slot.lines > 0.0);
        let sums = told.and_then(|slot| Some((slot.lines, *slot.groups.get(group)?)));
        let (lines, (asked, held)) = sums.unwrap_or((1.0, (0.0, 0.0)));
        let asked = match self.kinds[group] {
            (true, _) => asked / lines,
            (false, _) if self.slots[slot].lines > 0.0 => asked / SLOT_S,
            _ => 0.0,
        };
        (asked, held / lines)
    }
}

/// Reads the lines of all controllers' logs; whoever led told.
///
/// # Errors
/// Which file cannot be read, or that none tells what was asked for.
pub fn read(logs: &[PathBuf]) -> Result<Day, BoundError> {
    let name = |path: &Path| path.display().to_string();
    let mut day = Day::default();
    let mut began: Option<f64> = None;
    for path in logs {
        let text = std::fs::read_to_string(path).map_err(|e| BoundError::Read(name(path), e))?;
        for line in text.lines() {
            let Some((before, json)) = line.split_once(DEMAND_FIELD) else { continue };
            let mut told = serde_json::Deserializer::from_str(json).into_iter::<DemandLog>();
            let (Some(Ok(told)), Some(at_s)) = (told.next(), clock_s(before)) else { continue };
            let began = *began.get_or_insert(at_s);
            day.add((at_s - began).max(0.0), &told);
        }
    }
    if day.slots.is_empty() {
        let names: Vec<String> = logs.iter().map(|path| name(path)).collect();
        return Err(BoundError::Nothing(names.join(", ")));
    }
    Ok(day)
}

/// Seconds of the day in the time stamp of a line (`2026-09-21T14:13:20.058006Z`).
fn clock_s(line: &str) -> Option<f64> {
    let stamp = line.split_whitespace().find(|word| word.ends_with('Z') && word.contains('T'))?;
    let (_, clock) = stamp.trim_end_matches('Z').split_once('T')?;
    let mut parts = clock.split(':').map(|part| part.parse::<f64>().ok());
    let (h, m, s) = (parts.next()??, parts.next()??, parts.next()??);
    Some(h * 3600.0 + m * 60.0 + s)
}

/// Shares, from 0 to 1, of what a group asked for.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Share {
    pub class: String,
    pub team: String,
    /// Machine-hours.
    pub asked: f64,
    pub served: f64,
    /// The most it could have got if nobody else had asked.
    pub alone: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Bound {
    /// The share that all groups could have got at once.
    pub all: f64,
    pub machines: f64,
    pub hours: f64,
    pub groups: Vec<Share>,
}

/// The largest share that each of these groups can get at once.
fn solve(day: &Day, groups: &[&Group]) -> Result<f64, BoundError> {
    let mut problem = Problem::new(OptimizationDirection::Maximize);
    let least = problem.add_var(1.0, (0.0, 1.0));
    let mut used: Vec<[Vec<(Variable, f64)>; 2]> = vec![Default::default(); day.slots.len()];
    for group in groups {
        let (service, ordinary) = day.kinds[*group];
        let asked: Vec<f64> = (0..day.slots.len()).map(|n| day.told(n, group).0).collect();
        let total: f64 = asked.iter().sum();
        let mut got: Vec<(Variable, f64)> = Vec::new();
        let mut come = 0.0;
        for (n, asked) in asked.iter().enumerate() {
            come += asked;
            let mut here = Vec::new();
            for (spot, used) in used[n].iter_mut().enumerate().take(if ordinary { 1 } else { 2 }) {
                let most = if spot == 1 { day.spot } else { day.ordinary };
                let room = problem.add_var(0.0, (0.0, most));
                used.push((room, 1.0));
                here.push((room, 1.0));
            }
            if service {
                problem.add_constraint(&here[..], ComparisonOp::Le, *asked);
            }
            got.extend(here);
            if !service {
                problem.add_constraint(&got[..], ComparisonOp::Le, come);
            }
        }
        got.push((least, -total));
        problem.add_constraint(&got[..], ComparisonOp::Ge, 0.0);
    }
    for [ordinary, spot] in &used {
        problem.add_constraint(&ordinary[..], ComparisonOp::Le, day.ordinary);
        problem.add_constraint(&spot[..], ComparisonOp::Le, day.spot);
    }
    match problem.solve()? {
        SolveOutcome::Solution(found) => Ok(found.var_value(least)),
        SolveOutcome::Interrupted(_) => Err(BoundError::Unfinished),
    }
}

/// What was served of each group beside what could have been.
///
/// # Errors
/// That the solver gave up.
pub fn bound(day: &Day) -> Result<Bound, BoundError> {
    let hours = SLOT_S / 3600.0;
    let asked = |group: &Group| (0..day.slots.len()).map(|n| day.told(n, group).0).sum::<f64>();
    let all: Vec<&Group> = day.kinds.keys().filter(|group| asked(group) > 0.0).collect();
    let mut groups = Vec::new();
    for group in &all {
        let held: f64 = (0..day.slots.len()).map(|n| day.told(n, group).1).sum();
        groups.push(Share {
            class: group.0.clone(),
            team: group.1.clone(),
            asked: asked(group) * hours,
            served: held / asked(group),
            alone: solve(day, &[group])?,
        });
    }
    let all = solve(day, &all)?;
    let machines = day.ordinary + day.spot;
    Ok(Bound { all, machines, hours: day.slots.len() as f64 * hours, groups })
}

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
