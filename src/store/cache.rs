//! What this process knows of the state service's content: one key's value or removal at a time, older revisions
//! ignored.

use super::*;
use crate::drains::{self, DRAIN_PREFIX, DrainRecord};
use crate::store::records::{JOB_PREFIX, VERSION_PREFIX};
use troutspindle_protocol::operator_api::DrainKind;

/// What this process knows of the state service's content.
#[derive(Debug)]
pub struct Cache {
    pub loaded: bool,
    /// All changes up to here are in.
    pub rev: Revision,
    pub jobs: Jobs,
    pub leader: Option<(LeaderRecord, Revision)>,
    pub token: (FencingToken, Revision),
    pub machine_types: (Vec<MachineType>, Revision),
    /// Revisions of the keys that hold one machine type each.
    pub machine_type_keys: HashMap<String, Revision>,
    /// Which format each controller says that it reads.
    pub versions: BTreeMap<ControllerId, (VersionRecord, Revision)>,
    pub machines: BTreeMap<MachineId, (MachineRecord, Revision)>,
    /// What operators drain, by key.
    pub drains: BTreeMap<String, (DrainRecord, Revision)>,
    /// Revisions of the keys of operators' orders, also of those that were taken back: such a key stays, so
    /// that an order without an answer, carried out late, finds it changed.
    pub drain_keys: BTreeMap<String, Revision>,
    /// Run times that were learned, as they are kept.
    pub estimates: BTreeMap<u8, (Option<String>, Revision)>,
    /// Revisions of the controllers' controller_leases.
    pub controller_leases: BTreeMap<ControllerId, Revision>,
    /// Revisions of the keys by which controllers relay messages.
    pub relays: HashMap<String, Revision>,
    /// Relayed messages not looked at yet: the key's rest, and the message in hexadecimal.
    pub relayed: Vec<(String, String)>,
}

impl Cache {
    /// What operators ordered to be drained.
    pub fn drained(&self) -> impl Iterator<Item = &DrainRecord> {
        self.drains.values().map(|(record, _)| record)
    }

    /// Whether a controller is to be drained.
    pub fn is_controller_drained(&self, name: &ControllerId) -> bool {
        !self.drains.is_empty()
            && self.drains.contains_key(&drains::key(DrainKind::Controller, name.as_str()))
    }

    pub(crate) fn new(chunk: u32) -> Cache {
        Cache {
            loaded: false,
            rev: Revision(0),
            jobs: Jobs::new(chunk),
            leader: None,
            token: Default::default(),
            machine_types: Default::default(),
            machine_type_keys: HashMap::new(),
            versions: BTreeMap::new(),
            machines: BTreeMap::new(),
            drains: BTreeMap::new(),
            drain_keys: BTreeMap::new(),
            estimates: BTreeMap::new(),
            controller_leases: BTreeMap::new(),
            relays: HashMap::new(),
            relayed: Vec::new(),
        }
    }

    /// Takes in one key's value or, with no value, its removal. Older revisions are ignored.
    pub(super) fn take(
        &mut self,
        key: &str,
        value: Option<&StoreValue>,
        rev: Revision,
    ) -> Option<()> {
        if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            self.jobs.apply_record(JobId::new(id), value?, rev);
        } else if self.jobs.apply_auxiliary_key(key, value, rev) {
        } else if let Some(node) = key.strip_prefix(VERSION_PREFIX) {
            // Operators remove it before they go back to the version before.
            let Some(value) = value else {
                self.versions.remove(&ControllerId::new(node));
                return None;
            };
            match value.deserialized::<VersionRecord>() {
                Ok(record) => {
                    // They all agree, since each takes it from those that came before.
                    self.jobs.chunk = record.chunk.max(1);
                    self.versions.insert(ControllerId::new(node), (record, rev));
                }
                Err(_) => tracing::error!(key, "unreadable version"),
            }
        } else if let Some(node) = key.strip_prefix(CONTROLLER_LEASE_PREFIX) {
            let node = ControllerId::new(node);
            if self.controller_leases.get(&node).is_some_and(|old| *old >= rev) {
                return None;
            }
            match value {
                Some(_) => drop(self.controller_leases.insert(node, rev)),
                None => drop(self.controller_leases.remove(&node)),
            }
        } else if let Some(id) = key.strip_prefix(MACHINE_PREFIX) {
            let id = MachineId::new(id);
            if self.machines.get(&id).is_some_and(|(_, old)| *old >= rev) {
                return None;
            }
            match value.map(StoreValue::deserialized) {
                Some(Ok(record)) => {
                    self.machines.insert(id, (record, rev));
                }
                _ => {
                    self.machines.remove(&id);
                }
            }
        } else if key.starts_with(DRAIN_PREFIX) {
            if self.drain_keys.get(key).is_some_and(|old| *old >= rev) {
                return None;
            }
            match value {
                Some(_) => drop(self.drain_keys.insert(key.to_owned(), rev)),
                None => drop(self.drain_keys.remove(key)),
            }
            match value.map(StoreValue::deserialized) {
                Some(Ok(record)) => drop(self.drains.insert(key.to_owned(), (record, rev))),
                Some(Err(_)) if value != Some(&drains::TAKEN_BACK) => {
                    tracing::error!(key, "unreadable drain");
                }
                _ => drop(self.drains.remove(key)),
            }
        } else if let Some(bucket) = key.strip_prefix(ESTIMATES_PREFIX) {
            let bucket = u8::from_str_radix(bucket, 16).ok()?;
            let known = self.estimates.entry(bucket).or_default();
            if known.1 < rev {
                let text = value.and_then(StoreValue::as_text).map(str::to_owned);
                // What is no text is kept as one that can't be read, and is replaced.
                *known = (text.or_else(|| value.map(|_| String::new())), rev);
            }
        } else if let Some(rest) = key.strip_prefix(RELAY_PREFIX) {
            if let Some(text) = value.and_then(StoreValue::as_text)
                && self.relays.get(key).is_none_or(|old| *old < rev)
            {
                self.relays.insert(key.to_owned(), rev);
                self.relayed.push((rest.to_owned(), text.to_owned()));
            }
        } else if key == LEADER_KEY {
            if self.leader.as_ref().is_some_and(|(_, old)| *old >= rev) {
                return None;
            }
            self.leader = value.and_then(|v| v.deserialized().ok()).map(|record| (record, rev));
        } else if key == TOKEN_KEY {
            if let Some(token) = value.and_then(|v| v.deserialized().ok())
                && self.token.1 < rev
            {
                self.token = (token, rev);
            }
        } else if key == MACHINE_TYPES_KEY
            && let Some(flavors) = value.and_then(|v| v.deserialized::<Vec<MachineType>>().ok())
            && self.machine_types.1 < rev
        {
            self.machine_types.1 = rev;
            wire::merge(&mut self.machine_types.0, flavors);
        } else if key.starts_with(MACHINE_TYPE_PREFIX)
            && let Some(flavor) = value.and_then(|v| v.deserialized::<MachineType>().ok())
            && self.machine_type_keys.get(key).is_none_or(|old| *old < rev)
        {
            self.machine_type_keys.insert(key.to_owned(), rev);
            wire::merge(&mut self.machine_types.0, vec![flavor]);
        }
        None
    }
}
