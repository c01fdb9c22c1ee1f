//! Choice of members, and conditions for relaying heartbeats and responding to them.

use crate::clock::WallClock;
use crate::controller::Controller;
use crate::controller::peer_table::PeerStatusView;
use crate::controller::sharding::MEMBER_UNREACHABLE_AFTER;
use crate::ids::{Attempt, ControllerId, FencingToken, JobId, MachineId, Revision, TaskId};
use crate::peers::heartbeat_relay::RelayedHeartbeat;
use crate::peers::membership::{Member, Membership};
use crate::peers::mesh::{MESH_PROTOCOL, PeerCapabilities};
use crate::scheduler::Scheduler;
use crate::settings::Settings;
use crate::store::Versioned;
use crate::wire::{Heartbeat, TaskState, TaskStatus};
use crate::workers::command_delivery::Delivery;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Creates a controller with four peers that always shards heartbeats.
fn controller(now: Instant) -> Controller {
    controller_with_sharding("always", now)
}

fn controller_with_sharding(share_reports: &str, now: Instant) -> Controller {
    let other = |n: u16| {
        let port = 10 + n;
        format!(r#"{{"host_name":"m-{n}","location":"a","peer_addr":"127.0.0.1:{port}"}}"#)
    };
    let others: Vec<String> = (0..4).map(other).collect();
    let text = format!(
        r#"{{"host_name":"n","location":"a","listen":"127.0.0.1:1","mesh_addr":"127.0.0.1:2",
        "others":[{}],"external":{{"cloud":"127.0.0.1:8","state":"127.0.0.1:9"}},
        "params":{{"zones":["a","b"],"teams":[{{"name":"t","cpus_max":8.0}}],
        "workers":{{"report_s":2.0,"lease_s":14.0,"cancel_s":32.0}},
        "state":{{"rps":150.0,"write_rps":60.0,"value_kb":16.0,"txn_ops":12}},
        "cloud":{{"rps":5.0,"list_lag_s":3.0}},"resources":{{"max_sockets":700}}}}}}"#,
        others.join(",")
    );
    let settings =
        Arc::new(Settings::parse(&text, Some(&format!("share_reports: {share_reports}"))).unwrap());
    let mut controller = Controller::new(settings, 1, WallClock { at: now, ms: 5 }).unwrap();
    controller.store.cache.machine_types.value = vec![crate::settings::fixtures::machine_type()];
    controller
}

fn heartbeat(tasks: Vec<TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: MachineId::new("i-1"),
        address: "127.0.0.1:9000".into(),
        machine_type: "f".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 1,
        seq: 1,
        token: FencingToken(1),
        notice_s: None,
        tasks,
    }
}

fn name(n: u16) -> ControllerId {
    ControllerId::new(&format!("m-{n}"))
}

fn record_peer(
    controller: &mut Controller,
    n: u16,
    last_heard: Instant,
    store_lost: bool,
    protocol: u8,
) {
    let capabilities = PeerCapabilities { protocol, free_sockets_permille: 900 };
    let uptime = Duration::from_secs(60);
    let view = PeerStatusView { last_heard, store_lost, uptime, capabilities };
    controller.peers.record_status(name(n), view);
}

/// A peer that can be reached and understands relayed heartbeats is a member even if it has lost the store. If access
/// to the store were required, an outage of the store would send all workers to the leader.
#[test]
fn peers_without_the_store_remain_members_if_reachable_and_capable() {
    let start = Instant::now();
    let now = start + MEMBER_UNREACHABLE_AFTER * 2;
    let mut controller = controller(start);
    record_peer(&mut controller, 0, now, false, MESH_PROTOCOL);
    record_peer(&mut controller, 1, now, true, MESH_PROTOCOL);
    record_peer(&mut controller, 2, start, false, MESH_PROTOCOL);
    record_peer(&mut controller, 3, now, false, 0);
    let members = controller.choose_members(5, now);
    let names: Vec<&ControllerId> = members.members().iter().map(|member| &member.name).collect();
    assert_eq!(names, [&name(0), &name(1)]);
    // A briefly unreachable peer counts toward sharding capacity; one without support for relaying does not.
    assert_eq!(controller.count_sharding_peers(now), 3);
}

/// Machines are rented up to the capacity of all controllers but one or, without heartbeat sharding, of one controller.
#[test]
fn machine_limit_grows_with_the_number_of_sharding_peers() {
    let now = Instant::now();
    let limit = |share_reports: &str| {
        let mut controller = controller_with_sharding(share_reports, now);
        (0..3).for_each(|n| record_peer(&mut controller, n, now, false, MESH_PROTOCOL));
        record_peer(&mut controller, 3, now, false, 0);
        controller.update_limits(now);
        controller.limits.machine_limit.current()
    };
    assert_eq!(limit("auto"), limit("never") * 3);
}

/// A leader whose lease has expired neither responds to relayed heartbeats nor announces members: its commands would
/// reach workers that a successor already manages.
#[test]
fn expired_leader_ignores_relayed_heartbeats_and_announces_no_members() {
    let now = Instant::now();
    let mut controller = controller(now);
    let (settings, wall) = (controller.settings.clone(), WallClock { at: now, ms: 5 });
    let cache = &controller.store.cache;
    controller.scheduler =
        Some(Scheduler::new(FencingToken(1), Revision(2), settings, cache, wall, now));
    record_peer(&mut controller, 0, now, false, MESH_PROTOCOL);
    assert!(!controller.holds_leadership(now));
    let heartbeats = vec![RelayedHeartbeat::Full(heartbeat(Vec::new()).into())];
    controller.on_relayed_heartbeats(&name(0), FencingToken(1), 7, heartbeats, now);
    assert!(controller.effects.is_empty(), "{:?}", controller.effects);
    assert!(controller.scheduler.as_ref().is_some_and(|scheduler| scheduler.heartbeats() == 0));
    controller.announce_shards(now);
    assert!(controller.effects.is_empty(), "{:?}", controller.effects);
}

/// A relayed command of a leader that has a successor is not executed, and a repeated command is executed once.
#[test]
fn relayed_command_of_an_earlier_leader_is_ignored() {
    let now = Instant::now();
    let mut controller = controller(now);
    controller.store.cache.token = Versioned::new(FencingToken(5), Revision(3));
    let command = |number: u64| Delivery {
        number,
        machine: MachineId::new("i-1"),
        address: "127.0.0.1:9000".parse().unwrap(),
        agent_epoch: Some(1),
        commands: Vec::new(),
    };
    controller.on_relayed_commands(&name(0), FencingToken(4), vec![command(1)], now);
    assert!(controller.effects.is_empty());
    controller.on_relayed_commands(&name(0), FencingToken(5), vec![command(2), command(2)], now);
    assert_eq!(controller.effects.len(), 1);
}

/// A heartbeat that is too large to be relayed gets a response at once, also while a new leader is awaited. If it were
/// queued, it would never be sent and its worker would get no response.
#[test]
fn oversized_heartbeat_gets_an_immediate_response() {
    let now = Instant::now();
    let mut controller = controller(now);
    let member = Member { name: name(0), zone: "a".into(), weight: 1000 };
    let members = Membership::new(vec![member]);
    controller.sharding.relay.on_assignment(FencingToken(1), name(0), members, now);
    let task = |index: u32| TaskStatus {
        task: TaskId { job: JobId::new("wk-1"), index },
        attempt: Attempt(1),
        state: TaskState::Running,
        exit_cause: None,
        saved: None,
    };
    let large = heartbeat((0..1000).map(task).collect());
    let small = Heartbeat { tasks: Vec::new(), ..large.clone() };
    for at in [now, now + MEMBER_UNREACHABLE_AFTER * 2] {
        assert!(controller.respond_as_follower(20, large.clone(), at).is_some());
        assert!(controller.respond_as_follower(21, small.clone(), at).is_none());
    }
}
