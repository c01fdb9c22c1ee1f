//! Message types of the protocol. Only this module uses the names on the wire; serde's `rename` maps each to the usual
//! term.
//!
//! | Name on the wire | Rust name | Types |
//! |---|---|---|
//! | `sweep` | `Array` | [`JobKind`] |
//! | `service` | `Service` | [`JobKind`] |
//! | `ensemble` | `Gang` | [`JobKind`] |
//! | `critical` | `Production` | [`Priority`] |
//! | `high` | `High` | [`Priority`] |
//! | `standard` | `Normal` | [`Priority`] |
//! | `best_effort` | `Low` | [`Priority`] |
//! | `nameId` | `id` | [`JobSpec`], [`JobName`], [`JobView`] |
//! | `runKind` | `class` | [`JobSpec`] |
//! | `owner` | `team` | [`JobSpec`] |
//! | `legs` | `tasks` | [`JobSpec`], [`Heartbeat`] |
//! | `vcpus` | `cpus` | [`JobSpec`], [`MachineType`] |
//! | `cards` | `gpus` | [`JobSpec`], [`MachineType`] |
//! | `ramGb` | `ram_gb` | [`JobSpec`], [`MachineType`] |
//! | `bundle` | `image` | [`JobSpec`] |
//! | `imageGb` | `image_gb` | [`JobSpec`] |
//! | `hall` | `zone` | [`JobSpec`], [`Heartbeat`], [`RentalRequest`], [`ListedMachine`] |
//! | `samePlace` | `one_zone` | [`JobSpec`] |
//! | `lendable` | `spot` | [`JobSpec`], [`Heartbeat`], [`RentalRequest`], [`ListedMachine`] |
//! | `shape` | `kind` | [`JobSpec`] |
//! | `urgency` | `priority` | [`JobSpec`] |
//! | `flavors` | `machine_types` | [`JobSpec`] |
//! | `expectS` | `expect_s` | [`JobSpec`] |
//! | `snapshotEveryS` | `checkpoint_s` | [`JobSpec`] |
//! | `snapshotS` | `save_s` | [`JobSpec`] |
//! | `dueS` | `due_s` | [`JobSpec`] |
//! | `waitsOn` | `depends_on` | [`JobSpec`] |
//! | `pending` | `Queued` | [`JobStatus`] |
//! | `running` | `Running` | [`JobStatus`], [`TaskState`] |
//! | `done` | `Done` | [`JobStatus`] |
//! | `aborted` | `Cancelled` | [`JobStatus`] |
//! | `pulling` | `Fetching` | [`TaskState`] |
//! | `gathering` | `Waiting` | [`TaskState`] |
//! | `saving` | `Saving` | [`TaskState`] |
//! | `ended` | `Exited` | [`TaskState`] |
//! | `leg` | `task` | [`TaskStatus`], [`WorkerCommand`] |
//! | `try` | `attempt` | [`TaskStatus`], [`WorkerCommand`] |
//! | `status` | `state` | [`TaskStatus`] |
//! | `exitCause` | `exit_cause` | [`TaskStatus`] |
//! | `spindle` | `machine` | [`Heartbeat`] |
//! | `tenure` | `agent_epoch` | [`Heartbeat`], [`CommandBatch`] |
//! | `tally` | `seq` | [`Heartbeat`] |
//! | `baton` | `token` | [`Heartbeat`], [`CommandBatch`] |
//! | `recallS` | `notice_s` | [`Heartbeat`] |
//! | `run` | `Start` | [`WorkerCommand`] |
//! | `halt` | `Stop` | [`WorkerCommand`] |
//! | `orders` | `commands` | [`CommandBatch`] |
//! | `windDownS` | `grace_s` | [`WorkerCommand`] |
//! | `forget` | `Forget` | [`WorkerCommand`] |
//! | `foreman` | `leader` | [`NotLeader`] |
//! | `cacheGb` | `cache_gb` | [`MachineType`] |
//! | `pullGbPerS` | `fetch_gb_per_s` | [`MachineType`] |
//! | `marketPrice` | `spot_price` | [`MachineType`] |
//! | `startupS` | `boot_s` | [`MachineType`] |
//! | `halls` | `zones` | [`MachineType`] |
//! | `hire` | `request_id` | [`RentalRequest`] |
//! | `flavor` | `machine_type` | [`Heartbeat`], [`RentalRequest`], [`ListedMachine`] |
//! | `flavors` | `types` | [`MachineTypes`] |
//! | `spindles` | `machines` | [`MachineIds`], [`MachinePage`] |
//! | `nameId` | `machine` | [`ListedMachine`] |
//! | `heldS` | `age_s` | [`ListedMachine`] |
//! | `keyRev` | `rev` | [`Precondition`], [`KeyValue`], [`WatchEvent`] |
//! | `write` | `key` | [`Write`] |
//! | `remove` | `key` | [`Write`] |
//! | `guards` | `preconditions` | [`Transaction`] |
//! | `news` | `events` | [`WatchResponse`] |
//! | `storeRev` | `rev` | [`CommitResponse`], [`RangeResponse`], [`WatchResponse`] |
//! | `write` | `put` | [`WatchEvent`] |
//! | `remove` | `delete` | [`WatchEvent`] |
//! | `lifeMs` | `ttl_ms` | [`LeaseTtl`] |
//! | `hold` | `lease` | [`LeaseCreated`], [`Write`] |

mod amount;
mod cloud;
mod codec;
mod job;
mod store;
mod worker;

pub use cloud::{
    CloudError, ListedMachine, ListedMachineState, MachineIds, MachinePage, MachineType,
    MachineTypes, RentalRequest, merge_machine_types,
};
pub use codec::{WireError, decode, encode, hex, unhex};
pub use job::{JobKind, JobName, JobSpec, JobStatus, JobView, Priority};
pub use store::{
    CommitResponse, KeyValue, LeaseCreated, LeaseTtl, Precondition, RangeResponse, StoreValue,
    Transaction, WatchEvent, WatchResponse, Write,
};
pub use worker::{CommandBatch, Heartbeat, NotLeader, TaskState, TaskStatus, WorkerCommand};

#[cfg(test)]
mod tests;
