//! Reports on groups, their floors and their demand, for operators and the log.

use super::DemandGroup;
use crate::scheduler::Scheduler;
use std::collections::BTreeMap;
use tokio::time::Instant;
use troutspindle_fair_share::constants::UNITS_PER_MACHINE;
use troutspindle_fair_share::{Capacity, Demand, GroupShare};
use troutspindle_protocol::operator_api::{
    DemandLog, FairShareReport, GroupBelowFloor, GroupDemand,
};

/// Names of a group's class and team.
struct GroupName {
    class: String,
    team: String,
}

fn machines(capacity: Capacity) -> f64 {
    capacity as f64 / UNITS_PER_MACHINE as f64
}

fn machines_to_hundredths(capacity: Capacity) -> f64 {
    (machines(capacity) * 100.0).round() / 100.0
}

fn machines_to_tenths(capacity: Capacity) -> f64 {
    (machines(capacity) * 10.0).round() / 10.0
}

impl Scheduler {
    fn group_name(&self, group: &DemandGroup) -> GroupName {
        let class = self.fair_share.classes.name(group.class);
        let team = self.settings.platform.params.teams.get(group.team.index());
        GroupName {
            class: class.unwrap_or_default().to_owned(),
            team: team.map_or(String::new(), |team| team.name.clone()),
        }
    }

    /// Returns three amounts for each group, in machines: the capacity that it holds, its floor,
    /// and the capacity that it needs. The key names the group.
    pub(super) fn group_shares(&self) -> BTreeMap<String, [f64; 3]> {
        let row = |(group, group_share): (&DemandGroup, &GroupShare)| {
            let GroupName { class, team } = self.group_name(group);
            let needed = self.fair_share.demands.get(group).map_or(0, Demand::needed);
            let row = [group_share.allocated, group_share.floor, needed].map(machines_to_tenths);
            (format!("{class} of {team}"), row)
        };
        self.fair_share.scarcity.group_shares().map(row).collect()
    }

    /// Returns demand and supply for the log, as JSON; `None` if floors are disabled.
    pub(in crate::scheduler) fn demand_line(&self, now: Instant) -> Option<String> {
        if self.settings.operator.floor <= 0.0 {
            return None;
        }
        let fair_share = &self.fair_share;
        let line = DemandLog {
            token: self.term.token.0,
            at_s: self.term.elapsed(now).as_secs_f64(),
            ordinary: machines_to_hundredths(fair_share.supply.ordinary),
            spot: machines_to_hundredths(fair_share.supply.spot),
            exhausted: fair_share.supply.exhausted,
            scarce: fair_share.is_scarce(),
            groups: fair_share
                .demands
                .iter()
                .map(|(group, demand)| self.group_demand(group, demand))
                .collect(),
        };
        serde_json::to_string(&line).ok()
    }

    fn group_demand(&self, group: &DemandGroup, demand: &Demand) -> GroupDemand {
        let GroupName { class, team } = self.group_name(group);
        let fair_share = &self.fair_share;
        let floor =
            fair_share.scarcity.group_share(group).map_or(0, |group_share| group_share.floor);
        GroupDemand {
            class,
            team,
            service: fair_share.service_groups.contains(group),
            ordinary: demand.ordinary,
            allocated: machines_to_hundredths(demand.allocated),
            waiting: machines_to_hundredths(demand.waiting),
            arrived: fair_share.arrived.get(group).map_or(0.0, |work| work.round()),
            floor: machines_to_hundredths(floor),
        }
    }

    /// Returns the report on groups below their floors, for operators.
    pub fn fair_share_report(&self, now: Instant) -> FairShareReport {
        let fair_share = &self.fair_share;
        let since = fair_share.scarcity.scarce_since();
        let elapsed = self.term.elapsed(now);
        let below =
            fair_share.scarcity.group_shares().filter(|(_, group_share)| group_share.deficit > 0);
        FairShareReport {
            leader: self.settings.platform.host_name.to_string(),
            scarce_for_s: since.map(|since| elapsed.saturating_sub(since).as_secs_f64()),
            machines: machines(fair_share.supply.total()),
            exhausted: fair_share.supply.exhausted,
            groups: below
                .map(|(group, group_share)| self.group_below_floor(group, group_share))
                .collect(),
        }
    }

    fn group_below_floor(&self, group: &DemandGroup, group_share: &GroupShare) -> GroupBelowFloor {
        let GroupName { class, team } = self.group_name(group);
        let fair_share = &self.fair_share;
        let needed = fair_share.demands.get(group).map_or(0, Demand::needed);
        let causes = fair_share.waiting.iter().filter(|(key, _)| key.group == *group);
        GroupBelowFloor {
            class,
            team,
            allocated: machines(group_share.allocated),
            floor: machines(group_share.floor),
            needed: machines(needed),
            waits_for: causes.map(|(key, tasks)| (key.cause.to_owned(), *tasks)).collect(),
        }
    }
}
