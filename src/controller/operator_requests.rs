//! What operators ask of a controller and order it to do.

use super::*;

/// Bytes. Texts in an operator's order.
pub const NOTE_MAX: usize = 200;

impl Controller {
    /// What an operator asks, if it shows the key. Whoever does not know that learns not even that there
    /// is such a path.
    pub(super) fn opened<T: DeserializeOwned>(
        &self,
        body: &[u8],
        shown: impl Fn(&T) -> &str,
    ) -> Option<T> {
        let key = self.settings.operator.operator_key.0.as_bytes();
        let asked: T = serde_json::from_slice(body).ok()?;
        let opens = !key.is_empty() && bool::from(shown(&asked).as_bytes().ct_eq(key));
        opens.then_some(asked)
    }

    pub(super) fn on_at_risk(&self, body: &[u8], now: Instant) -> Response {
        self.as_leader(body, now, |scheduler| scheduler.at_risk(&self.state.cache, now))
    }

    pub(super) fn on_starving(&self, body: &[u8], now: Instant) -> Response {
        self.as_leader(body, now, |scheduler| scheduler.starving(now))
    }

    /// What only the leader can tell an operator.
    pub(super) fn as_leader<T: Serialize>(
        &self,
        body: &[u8],
        now: Instant,
        tell: impl Fn(&Scheduler) -> T,
    ) -> Response {
        if self.opened(body, |asked: &operator_api::OperatorQuery| &asked.key).is_none() {
            return Response::empty(404);
        }
        match &self.scheduler {
            Some(scheduler) if self.may_act(now) => {
                Response::with(200, serde_json::to_vec(&tell(scheduler)).unwrap_or_default())
            }
            _ => Response::empty(421),
        }
    }

    pub(super) fn on_drains(&self, body: &[u8], now: Instant) -> Response {
        if self.opened(body, |asked: &operator_api::OperatorQuery| &asked.key).is_none() {
            return Response::empty(404);
        }
        let cache = &self.state.cache;
        let found = match &self.scheduler {
            Some(scheduler) if self.may_act(now) => scheduler.drains(cache, now),
            _ => crate::scheduler::drains::list(cache, self.api.wall, now),
        };
        Response::with(200, serde_json::to_vec(&found).unwrap_or_default())
    }

    /// Any controller writes an operator's order down; the answer comes when it is there.
    pub(super) fn on_drain(&mut self, ticket: u64, body: &[u8], now: Instant) -> Option<Response> {
        let Some(order) = self.opened(body, |order: &operator_api::DrainRequest| &order.key) else {
            return Some(Response::empty(404));
        };
        let known = match order.kind {
            operator_api::DrainKind::Zone => {
                self.settings.platform.params.zones.contains(&order.name)
            }
            operator_api::DrainKind::Controller => {
                let platform = &self.settings.platform;
                let mut names = platform.others.iter().map(|peer| &peer.host_name);
                platform.host_name.as_str() == order.name
                    || names.any(|name| name.as_str() == order.name)
            }
            operator_api::DrainKind::Machine => {
                self.state.cache.machines.contains_key(&MachineId::new(&order.name))
            }
        };
        let texts = [&order.author, &order.reason];
        let sane = texts.iter().all(|text| text.len() <= NOTE_MAX)
            && order.by_s.is_none_or(|by_s| (0.0..1e8).contains(&by_s));
        if !known || !sane {
            return Some(Response::empty(422));
        }
        let at_ms = self.api.wall.ms(now);
        let record = DrainRecord {
            kind: order.kind,
            name: order.name,
            by_ms: order.by_s.map(|by_s| at_ms.saturating_add((by_s * 1000.0) as u64)),
            at_ms,
            author: order.author,
            reason: order.reason,
        };
        let key = keys::drain_key(record.kind, &record.name);
        self.order(ticket, key, encoding::to_value(&record))
    }

    pub(super) fn on_undrain(&mut self, ticket: u64, body: &[u8]) -> Option<Response> {
        let Some(order) = self.opened(body, |order: &operator_api::UndrainRequest| &order.key)
        else {
            return Some(Response::empty(404));
        };
        let key = keys::drain_key(order.kind, &order.name);
        if !self.state.cache.drains.contains_key(&key) {
            return Some(Response::empty(422));
        }
        self.order(ticket, key, drains::TAKEN_BACK)
    }

    /// Writes a drain, or that it is taken back, guarded by what this controller knows of it: of two operators at
    /// once one is told to look again.
    pub(super) fn order(&mut self, ticket: u64, key: String, data: StoreValue) -> Option<Response> {
        if !self.state.cache.loaded {
            return Some(Response::later(503));
        }
        let rev = self.state.cache.drain_keys.get(&key).copied().unwrap_or_default();
        let preconditions = vec![Precondition { key: key.clone(), rev }];
        let transaction =
            Transaction { preconditions, writes: vec![Write::Put { key, data, lease: None }] };
        self.state.enqueue(PendingWrite {
            priority: WritePriority::Blocking,
            origin: WriteOrigin::Operator(ticket),
            transaction,
        });
        None
    }

    pub(super) fn on_ordered(&mut self, ticket: u64, outcome: WriteOutcome) {
        let response = match outcome {
            WriteOutcome::Committed => Response::empty(200),
            WriteOutcome::Conflict => Response::empty(409),
            WriteOutcome::Invalid => Response::empty(422),
            WriteOutcome::NotExecuted | WriteOutcome::Unknown => Response::later(503),
        };
        self.reply(ticket, response);
    }
}
