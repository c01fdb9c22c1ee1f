//! Who passes reports on, and whose passed-on reports are answered.

use super::*;
use crate::controller::relayed_heartbeats::MEMBER_FRESH;
use crate::peers::heartbeat_relay::RelayedHeartbeat;
use crate::peers::mesh::MESH_PROTOCOL;
use crate::store::Versioned;

/// A controller with four others, which has read an empty store.
fn node(now: Instant) -> Controller {
    node_that("always", now)
}

fn node_that(shares: &str, now: Instant) -> Controller {
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
        Arc::new(Settings::parse(&text, Some(&format!("share_reports: {shares}"))).unwrap());
    let mut node = Controller::new(settings, 1, WallClock { at: now, ms: 5 }).unwrap();
    node.state.cache.machine_types.value = vec![crate::settings::plain_flavor()];
    node
}

fn report(tasks: Vec<wire::TaskStatus>) -> Heartbeat {
    Heartbeat {
        machine: MachineId::new("i-1"),
        address: "127.0.0.1:9000".into(),
        flavor: "f".into(),
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

fn heard(node: &mut Controller, n: u16, at: Instant, state_lost: bool, protocol: u8) {
    let extra = PeerCapabilities { protocol, free_sockets_permille: 900 };
    let view = PeerView { heard: at, state_lost, up: Duration::from_secs(60), extra };
    node.peers.insert(name(n), view);
}

/// Who is heard and understands what is passed on takes reports, also without the store: in an outage nobody has it, and
/// all workers would be sent to the leader.
#[test]
fn members_are_heard_and_understand_also_in_an_outage() {
    let start = Instant::now();
    let now = start + MEMBER_FRESH * 2;
    let mut node = node(start);
    heard(&mut node, 0, now, false, MESH_PROTOCOL);
    heard(&mut node, 1, now, true, MESH_PROTOCOL);
    heard(&mut node, 2, start, false, MESH_PROTOCOL);
    heard(&mut node, 3, now, false, 0);
    let members = node.find_members(5, now);
    let names: Vec<&ControllerId> = members.members().iter().map(|member| &member.name).collect();
    assert_eq!(names, [&name(0), &name(1)]);
    // One that is away for a moment counts where it is asked how many could hold workers; one that understands nothing
    // of it does not.
    assert_eq!(node.sharers(now), 3);
}

/// Machines are rented up to what all controllers but one can hold, and where reports are not shared, up to what one can.
#[test]
fn machines_are_rented_by_how_many_controllers_hold_their_workers() {
    let now = Instant::now();
    let most = |shares: &str| {
        let mut node = node_that(shares, now);
        (0..3).for_each(|n| heard(&mut node, n, now, false, MESH_PROTOCOL));
        heard(&mut node, 3, now, false, 0);
        node.look_at_limits(now);
        node.ceiling.most()
    };
    assert_eq!(most("auto"), most("never") * 3);
}

/// A leader whose right has ended answers no report that is passed on: its orders would reach workers that a successor
/// takes for its own. Nor is it asked for commands or believed about members.
#[test]
fn without_the_right_to_act_no_passed_on_report_is_answered() {
    let now = Instant::now();
    let mut node = node(now);
    let report = report(Vec::new());
    let (settings, wall) = (node.settings.clone(), WallClock { at: now, ms: 5 });
    let cache = &node.state.cache;
    node.scheduler = Some(Scheduler::new(FencingToken(1), Revision(2), settings, cache, wall, now));
    heard(&mut node, 0, now, false, MESH_PROTOCOL);
    assert!(!node.may_act(now));
    let reports = vec![RelayedHeartbeat::Full(report.into())];
    node.on_reports(&name(0), (FencingToken(1), 7), reports, now);
    assert!(node.out.is_empty(), "{:?}", node.out);
    assert!(node.scheduler.as_ref().is_some_and(|scheduler| scheduler.heartbeats() == 0));
    node.tell_sharing(now);
    assert!(node.out.is_empty(), "{:?}", node.out);
}

/// A passed-on command of a leader that has a successor is not carried out.
#[test]
fn a_command_of_an_earlier_leader_is_left_out() {
    let now = Instant::now();
    let mut node = node(now);
    node.state.cache.token = Versioned::new(FencingToken(5), Revision(3));
    let command = |number: u64| crate::workers::command_delivery::Delivery {
        number,
        machine: MachineId::new("i-1"),
        address: "127.0.0.1:9000".parse().unwrap(),
        agent_epoch: Some(1),
        commands: Vec::new(),
    };
    node.on_deliver(&name(0), FencingToken(4), vec![command(1)], now);
    assert!(node.out.is_empty());
    node.on_deliver(&name(0), FencingToken(5), vec![command(2), command(2)], now);
    assert_eq!(node.out.len(), 1);
}

/// A report too large to be passed on is answered at once, also while a new leader is waited for: held and not sent it
/// would leave its worker without an answer.
#[test]
fn a_report_too_large_to_be_passed_on_is_answered() {
    let now = Instant::now();
    let mut node = node(now);
    let member = crate::peers::membership::Member { name: name(0), zone: "a".into(), weight: 1000 };
    let members = crate::peers::membership::Membership::new(vec![member]);
    node.sharing.relay.on_assignment(FencingToken(1), name(0), members, now);
    let task = |index: u32| wire::TaskStatus {
        task: crate::ids::TaskId { job: JobId::new("wk-1"), index },
        attempt: crate::ids::Attempt(1),
        state: wire::TaskState::Running,
        why: None,
        saved: None,
    };
    let report = report((0..1000).map(task).collect());
    let small = Heartbeat { tasks: Vec::new(), ..report.clone() };
    for at in [now, now + MEMBER_FRESH * 2] {
        assert!(node.share_report(20, report.clone(), at).is_some());
        assert!(node.share_report(21, small.clone(), at).is_none());
    }
}
