//! This process's cache of the store's content. Changes are applied to one key at a time. A change that
//! is older than the cached revision of its key is ignored.

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
    /// Decoded value of the key.
    pub value: T,
    /// Revision at which the value was written.
    pub revision: Revision,
}

impl<T> Versioned<T> {
    /// Creates a value that was written at this revision.
    pub fn new(value: T, revision: Revision) -> Versioned<T> {
        Versioned { value, revision }
    }
}

/// Message that is relayed through the store between controllers that cannot reach each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayedMessage {
    /// Key of the message without its prefix: sender and receiver.
    pub route: String,
    /// Message, or a chunk of it, in hexadecimal.
    pub text: String,
}

/// Cached content of the store, with the revision at which each key was written.
#[derive(Debug)]
pub struct Cache {
    /// True if all keys have been read once.
    pub loaded: bool,
    /// Revision up to which the cache contains all changes.
    pub rev: Revision,
    /// Jobs, both live and finished, with their progress.
    pub jobs: Jobs,
    /// Record of the leader, or `None` if no leader key exists.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// Newest fencing token that was given to a leader.
    pub token: Versioned<FencingToken>,
    /// Machine types of all keys, with the revision of the key that stores them as one list.
    pub machine_types: Versioned<Vec<MachineType>>,
    /// Revisions of the keys that store one machine type each.
    pub machine_type_key_revisions: HashMap<String, Revision>,
    /// Version record that each controller announced.
    pub versions: BTreeMap<ControllerId, Versioned<VersionRecord>>,
    /// Machines on which tasks may have been started.
    pub machines: BTreeMap<MachineId, Versioned<MachineRecord>>,
    /// Active drains that operators requested, by key.
    pub drains: BTreeMap<String, Versioned<DrainRecord>>,
    /// Revisions of the keys of all drains, including cancelled ones. The key of a cancelled drain is
    /// kept, so that an unanswered request that the store executes late fails its precondition.
    pub drain_key_revisions: BTreeMap<String, Revision>,
    /// Encoded learned run times by bucket; the value is `None` if the key was removed.
    pub estimates: BTreeMap<u8, Versioned<Option<String>>>,
    /// Revisions of the controllers' lease keys.
    pub controller_leases: BTreeMap<ControllerId, Revision>,
    /// Revisions of the keys by which controllers relay messages.
    pub relay_key_revisions: HashMap<String, Revision>,
    /// Relayed messages that have not been processed yet.
    pub relayed_messages: Vec<RelayedMessage>,
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
            machine_type_key_revisions: HashMap::new(),
            versions: BTreeMap::new(),
            machines: BTreeMap::new(),
            drains: BTreeMap::new(),
            drain_key_revisions: BTreeMap::new(),
            estimates: BTreeMap::new(),
            controller_leases: BTreeMap::new(),
            relay_key_revisions: HashMap::new(),
            relayed_messages: Vec::new(),
        }
    }

    /// Returns the active drains.
    pub fn active_drains(&self) -> impl Iterator<Item = &DrainRecord> {
        self.drains.values().map(|drain| &drain.value)
    }

    /// Returns whether an operator drains this controller.
    pub fn is_controller_drained(&self, name: &ControllerId) -> bool {
        !self.drains.is_empty()
            && self.drains.contains_key(&keys::drain_key(DrainKind::Controller, name.as_str()))
    }

    /// Applies the value of one key or, if `value` is `None`, its removal. Older revisions are ignored.
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
        // Operators remove this key before they downgrade to an older version.
        let Some(value) = value else {
            self.versions.remove(&controller);
            return;
        };
        match value.deserialized::<VersionRecord>() {
            Ok(record) => {
                // All controllers agree on this value, since each one copies it from earlier records.
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
        if self.drain_key_revisions.get(key).is_some_and(|known| *known >= rev) {
            return;
        }
        if value.is_some() {
            self.drain_key_revisions.insert(key.to_owned(), rev);
        } else {
            self.drain_key_revisions.remove(key);
        }
        match value.map(StoreValue::deserialized) {
            Some(Ok(record)) => {
                self.drains.insert(key.to_owned(), Versioned::new(record, rev));
            }
            Some(Err(error)) if value != Some(&drains::WITHDRAWN) => {
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
            // A value that is not a text is cached as an empty text, which is unreadable and will be replaced.
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
            && self.relay_key_revisions.get(key).is_none_or(|known| *known < rev)
        {
            self.relay_key_revisions.insert(key.to_owned(), rev);
            self.relayed_messages
                .push(RelayedMessage { route: route.to_owned(), text: text.to_owned() });
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
            && self.machine_type_key_revisions.get(key).is_none_or(|known| *known < rev)
        {
            self.machine_type_key_revisions.insert(key.to_owned(), rev);
            wire::merge_machine_types(&mut self.machine_types.value, vec![machine_type]);
        }
    }

    /// Removes entries that were cached before a snapshot and are missing in it, since their keys no
    /// longer exist. Keys written while the snapshot was read have newer revisions and are kept. The
    /// watch continues from the first page's revision, so that changes between pages are received again.
    pub(super) fn finish_snapshot(&mut self, snapshot: &Snapshot) {
        let first = snapshot.first_revision();
        self.machines.retain(|id, known| snapshot.has_machine(id) || known.revision > first);
        self.versions.retain(|name, known| snapshot.has_version(name) || known.revision > first);
        self.controller_leases
            .retain(|name, rev| snapshot.has_controller_lease(name) || *rev > first);
        self.drains.retain(|key, known| snapshot.has_drain(key) || known.revision > first);
        self.drain_key_revisions.retain(|key, rev| snapshot.has_drain(key) || *rev > first);
        if !snapshot.has_leader()
            && self.leader.as_ref().is_some_and(|known| known.revision <= first)
        {
            self.leader = None;
        }
        self.rev = first;
    }
}
