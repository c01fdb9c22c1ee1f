//! What this process knows of the store's content: one key's value or removal at a time, older
//! revisions ignored.

use crate::drains::{self, DrainRecord};
use crate::ids::{ControllerId, FencingToken, JobId, MachineId, Revision};
use crate::jobs::Jobs;
use crate::schema::keys::{
    self, CONTROLLER_LEASE_PREFIX, DRAIN_PREFIX, ESTIMATES_PREFIX, JOB_PREFIX, LEADER_KEY,
    MACHINE_PREFIX, MACHINE_TYPE_PREFIX, MACHINE_TYPES_KEY, RELAY_PREFIX, TOKEN_KEY,
    VERSION_PREFIX,
};
use crate::schema::records::{LeaderRecord, MachineRecord, VersionRecord};
use crate::store::snapshot::Snapshot;
use crate::wire::{self, MachineType, StoreValue};
use foldhash::{HashMap, HashMapExt};
use std::collections::BTreeMap;
use troutspindle_protocol::operator_api::DrainKind;

/// A value with the revision at which it was written.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Versioned<T> {
    /// What its key says.
    pub value: T,
    /// When that was written.
    pub revision: Revision,
}

impl<T> Versioned<T> {
    /// A value that was written at this revision.
    pub fn new(value: T, revision: Revision) -> Versioned<T> {
        Versioned { value, revision }
    }
}

/// A message between controllers that cannot reach each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedMessage {
    /// Its key without the prefix: sender and receiver.
    pub route: String,
    /// The message, or a chunk of it, in hexadecimal.
    pub text: String,
}

/// The store's content, each key with the revision at which it was written.
#[derive(Debug)]
pub struct Cache {
    /// Whether all keys have been read once.
    pub loaded: bool,
    /// All changes up to here are in.
    pub rev: Revision,
    /// All jobs.
    pub jobs: Jobs,
    /// Who leads, if anybody does.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The newest fencing token.
    pub token: Versioned<FencingToken>,
    /// The machine types of all keys, and the revision of the key that holds them as one list.
    pub machine_types: Versioned<Vec<MachineType>>,
    /// Revisions of the keys that hold one machine type each.
    pub machine_type_keys: HashMap<String, Revision>,
    /// The format that each controller says it reads.
    pub versions: BTreeMap<ControllerId, Versioned<VersionRecord>>,
    /// Machines on which tasks may have been started.
    pub machines: BTreeMap<MachineId, Versioned<MachineRecord>>,
    /// What operators drain, by key.
    pub drains: BTreeMap<String, Versioned<DrainRecord>>,
    /// Revisions of the keys of drains, also of those that were taken back: such a key stays, so
    /// that a request without a response, carried out late, finds it changed.
    pub drain_keys: BTreeMap<String, Revision>,
    /// Learned run times, encoded; none where the key was removed.
    pub estimates: BTreeMap<u8, Versioned<Option<String>>>,
    /// Revisions of the keys of the controllers' leases.
    pub controller_leases: BTreeMap<ControllerId, Revision>,
    /// Revisions of the keys by which controllers relay messages.
    pub relays: HashMap<String, Revision>,
    /// Relayed messages not read yet.
    pub relayed: Vec<RelayedMessage>,
}

impl Cache {
    pub(crate) fn new(legacy_chunk_tasks: u32) -> Cache {
        Cache {
            loaded: false,
            rev: Revision(0),
            jobs: Jobs::new(legacy_chunk_tasks),
            leader: None,
            token: Versioned::default(),
            machine_types: Versioned::default(),
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

    /// What operators ordered to be drained.
    pub fn drained(&self) -> impl Iterator<Item = &DrainRecord> {
        self.drains.values().map(|drain| &drain.value)
    }

    /// Whether a controller is to be drained.
    pub fn is_controller_drained(&self, name: &ControllerId) -> bool {
        !self.drains.is_empty()
            && self.drains.contains_key(&keys::drain_key(DrainKind::Controller, name.as_str()))
    }

    /// Takes in one key's value or, with no value, its removal. Older revisions are ignored.
    pub(super) fn apply(&mut self, key: &str, value: Option<&StoreValue>, rev: Revision) {
        if let Some(id) = key.strip_prefix(JOB_PREFIX) {
            if let Some(value) = value {
                self.jobs.apply_record(JobId::new(id), value, rev);
            }
        } else if self.jobs.apply_auxiliary_key(key, value, rev) {
        } else if let Some(controller) = key.strip_prefix(VERSION_PREFIX) {
            self.apply_version(ControllerId::new(controller), value, rev);
        } else if let Some(controller) = key.strip_prefix(CONTROLLER_LEASE_PREFIX) {
            self.apply_controller_lease(ControllerId::new(controller), value, rev);
        } else if let Some(id) = key.strip_prefix(MACHINE_PREFIX) {
            self.apply_machine(MachineId::new(id), value, rev);
        } else if key.starts_with(DRAIN_PREFIX) {
            self.apply_drain(key, value, rev);
        } else if let Some(bucket) = key.strip_prefix(ESTIMATES_PREFIX) {
            self.apply_estimates(bucket, value, rev);
        } else if let Some(route) = key.strip_prefix(RELAY_PREFIX) {
            self.apply_relayed_message(key, route, value, rev);
        } else if key == LEADER_KEY {
            self.apply_leader(value, rev);
        } else if key == TOKEN_KEY {
            self.apply_token(value, rev);
        } else if key == MACHINE_TYPES_KEY {
            self.apply_machine_types(value, rev);
        } else if key.starts_with(MACHINE_TYPE_PREFIX) {
            self.apply_machine_type(key, value, rev);
        }
    }

    fn apply_version(
        &mut self,
        controller: ControllerId,
        value: Option<&StoreValue>,
        rev: Revision,
    ) {
        // Operators remove it before they go back to an older version.
        let Some(value) = value else {
            self.versions.remove(&controller);
            return;
        };
        match value.deserialized::<VersionRecord>() {
            Ok(record) => {
                // They all agree, since each takes it from those that came before.
                self.jobs.set_legacy_chunk_tasks(record.legacy_chunk_tasks.max(1));
                self.versions.insert(controller, Versioned::new(record, rev));
            }
            Err(error) => tracing::error!(%controller, %error, "version record is unreadable"),
        }
    }

    fn apply_controller_lease(
        &mut self,
        controller: ControllerId,
        value: Option<&StoreValue>,
        rev: Revision,
    ) {
        if self.controller_leases.get(&controller).is_some_and(|known| *known >= rev) {
            return;
        }
        if value.is_some() {
            self.controller_leases.insert(controller, rev);
        } else {
            self.controller_leases.remove(&controller);
        }
    }

    fn apply_machine(&mut self, id: MachineId, value: Option<&StoreValue>, rev: Revision) {
        if self.machines.get(&id).is_some_and(|known| known.revision >= rev) {
            return;
        }
        match value.map(StoreValue::deserialized) {
            Some(Ok(record)) => {
                self.machines.insert(id, Versioned::new(record, rev));
            }
            Some(Err(_)) | None => {
                self.machines.remove(&id);
            }
        }
    }

    fn apply_drain(&mut self, key: &str, value: Option<&StoreValue>, rev: Revision) {
        if self.drain_keys.get(key).is_some_and(|known| *known >= rev) {
            return;
        }
        if value.is_some() {
            self.drain_keys.insert(key.to_owned(), rev);
        } else {
            self.drain_keys.remove(key);
        }
        match value.map(StoreValue::deserialized) {
            Some(Ok(record)) => {
                self.drains.insert(key.to_owned(), Versioned::new(record, rev));
            }
            Some(Err(error)) if value != Some(&drains::TAKEN_BACK) => {
                tracing::error!(key, %error, "drain record is unreadable");
            }
            Some(Err(_)) | None => {
                self.drains.remove(key);
            }
        }
    }

    fn apply_estimates(&mut self, bucket: &str, value: Option<&StoreValue>, rev: Revision) {
        let Ok(bucket) = u8::from_str_radix(bucket, 16) else { return };
        let known = self.estimates.entry(bucket).or_default();
        if known.revision < rev {
            let text = value.and_then(StoreValue::as_text).map(str::to_owned);
            // What is no text is kept as one that can't be read, and is replaced.
            *known = Versioned::new(text.or_else(|| value.map(|_| String::new())), rev);
        }
    }

    fn apply_relayed_message(
        &mut self,
        key: &str,
        route: &str,
        value: Option<&StoreValue>,
        rev: Revision,
    ) {
        if let Some(text) = value.and_then(StoreValue::as_text)
            && self.relays.get(key).is_none_or(|known| *known < rev)
        {
            self.relays.insert(key.to_owned(), rev);
            self.relayed.push(RelayedMessage { route: route.to_owned(), text: text.to_owned() });
        }
    }

    fn apply_leader(&mut self, value: Option<&StoreValue>, rev: Revision) {
        if self.leader.as_ref().is_none_or(|known| known.revision < rev) {
            let record = value.and_then(|value| value.deserialized().ok());
            self.leader = record.map(|record| Versioned::new(record, rev));
        }
    }

    fn apply_token(&mut self, value: Option<&StoreValue>, rev: Revision) {
        if let Some(token) = value.and_then(|value| value.deserialized().ok())
            && self.token.revision < rev
        {
            self.token = Versioned::new(token, rev);
        }
    }

    fn apply_machine_types(&mut self, value: Option<&StoreValue>, rev: Revision) {
        if let Some(types) = value.and_then(|value| value.deserialized().ok())
            && self.machine_types.revision < rev
        {
            self.machine_types.revision = rev;
            wire::merge_machine_types(&mut self.machine_types.value, types);
        }
    }

    fn apply_machine_type(&mut self, key: &str, value: Option<&StoreValue>, rev: Revision) {
        if let Some(machine_type) = value.and_then(|value| value.deserialized().ok())
            && self.machine_type_keys.get(key).is_none_or(|known| *known < rev)
        {
            self.machine_type_keys.insert(key.to_owned(), rev);
            wire::merge_machine_types(&mut self.machine_types.value, vec![machine_type]);
        }
    }

    /// Forgets what was cached before a snapshot and isn't in it: it has been removed. Keys written
    /// meanwhile have newer revisions and stay. The watch goes on from the first page's revision,
    /// so that whatever changed between pages comes again.
    pub(super) fn finish_snapshot(&mut self, snapshot: &Snapshot) {
        let first = snapshot.first_revision();
        self.machines.retain(|id, known| snapshot.has_machine(id) || known.revision > first);
        self.versions.retain(|name, known| snapshot.has_version(name) || known.revision > first);
        self.controller_leases
            .retain(|name, rev| snapshot.has_controller_lease(name) || *rev > first);
        self.drains.retain(|key, known| snapshot.has_drain(key) || known.revision > first);
        self.drain_keys.retain(|key, rev| snapshot.has_drain(key) || *rev > first);
        if !snapshot.has_leader()
            && self.leader.as_ref().is_some_and(|known| known.revision <= first)
        {
            self.leader = None;
        }
        self.rev = first;
    }
}
