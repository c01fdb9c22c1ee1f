use super::{
    CompletedCall, DELIVERY_PAUSE, Delivery, DeliveryResult, DirectCall, ForwardedCalls,
    PendingDeliveries, WORKER_TIMEOUT,
};
use crate::constants::BODY_MAX;
use crate::http::CallError;
use crate::ids::{Attempt, ControllerId, FencingToken, MachineId, TaskId};
use crate::wire::{CommandBatch, Heartbeat, WorkerCommand};
use std::net::SocketAddr;
use tokio::time::Instant;

fn machine() -> MachineId {
    MachineId::new("i-1")
}

fn start_batch(token: u64) -> CommandBatch {
    let command =
        WorkerCommand::Start { task: TaskId::parse("wk-1/0").unwrap(), attempt: Attempt(9) };
    CommandBatch { token: FencingToken(token), agent_epoch: Some(2), commands: vec![command] }
}

fn heartbeat() -> Heartbeat {
    Heartbeat {
        machine: machine(),
        address: String::new(),
        machine_type: "f".into(),
        zone: "a".into(),
        spot: false,
        agent_epoch: 2,
        seq: 1,
        token: FencingToken(3),
        notice_s: None,
        tasks: Vec::new(),
    }
}

/// Follows one command from the leader to the controller that makes the call, and its result back to the leader.
#[test]
fn forwarded_call_is_made_once_and_its_result_returned() {
    let now = Instant::now();
    let (leader, other) = (ControllerId::new("a"), ControllerId::new("b"));
    let mut deliveries = PendingDeliveries::new(50);
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    deliveries.push(&other, machine(), address, DirectCall::Do(start_batch(3)), now);
    let mut frames = deliveries.take_frames();
    let frame = frames.pop().unwrap();
    let (to, requested) = (frame.to, frame.deliveries);
    assert!(to == other && requested.len() == 1 && frames.is_empty());
    let mut forwarded = ForwardedCalls::new();
    assert!(forwarded.begin(&leader, FencingToken(3), &requested[0]));
    // A duplicate of the request, or a request of an earlier leader, is rejected.
    assert!(!forwarded.begin(&leader, FencingToken(3), &requested[0]));
    assert!(!forwarded.begin(
        &leader,
        FencingToken(2),
        &Delivery { number: 99, ..requested[0].clone() }
    ));
    let DirectCall::Do(batch) = requested[0].clone().into_direct_call(FencingToken(3)) else {
        panic!()
    };
    assert_eq!((batch.token, batch.agent_epoch), (FencingToken(3), Some(2)));
    assert_eq!(batch.commands, start_batch(3).commands);
    // The end of a call for another leader, or of one that this controller made for itself, is not recorded.
    assert!(!forwarded.end(&machine(), Some(&start_batch(4)), &Ok(heartbeat()), now));
    assert!(!forwarded.end(&machine(), None, &Ok(heartbeat()), now));
    assert!(forwarded.end(&machine(), Some(&batch), &Ok(heartbeat()), now));
    assert!(forwarded.take_results(now).is_empty());
    let mut frame = forwarded.take_results(now + DELIVERY_PAUSE).pop().unwrap();
    assert_eq!((frame.to, frame.token), (leader, FencingToken(3)));
    let (number, result) = frame.results.pop().unwrap();
    let call = deliveries.on_result(number, result).unwrap();
    assert!(call.machine == machine() && call.commands.is_some() && call.result.is_ok());
    assert!(deliveries.on_result(number, DeliveryResult::NotSent).is_none());
}

/// A command without a result may have been executed, so it never counts as one that was certainly not sent.
#[test]
fn overdue_call_counts_as_unknown_and_its_late_result_is_ignored() {
    let now = Instant::now();
    let mut deliveries = PendingDeliveries::new(0);
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    deliveries.push(
        &ControllerId::new("b"),
        machine(),
        address,
        DirectCall::Do(start_batch(3)),
        now,
    );
    let number = deliveries.take_frames()[0].deliveries[0].number;
    let deadline = deliveries.next_due().unwrap();
    assert!(deadline > now + WORKER_TIMEOUT);
    assert!(deliveries.take_overdue(now + WORKER_TIMEOUT).is_empty());
    let overdue = deliveries.take_overdue(deadline);
    assert!(matches!(
        overdue[..],
        [CompletedCall { commands: Some(_), result: Err(CallError::Unknown), .. }]
    ));
    assert!(deliveries.on_result(number, DeliveryResult::NotSent).is_none());
    assert_eq!(deliveries.in_flight(), 0);
}

#[test]
fn delivery_frames_never_exceed_the_body_limit() {
    let now = Instant::now();
    let mut deliveries = PendingDeliveries::new(0);
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    for n in 0..3000 {
        let id = MachineId::new(&format!("i-{n:06}"));
        deliveries.push(&ControllerId::new("b"), id, address, DirectCall::Do(start_batch(3)), now);
    }
    let frames = deliveries.take_frames();
    assert_eq!(frames.iter().map(|frame| frame.deliveries.len()).sum::<usize>(), 3000);
    for frame in frames {
        assert!(postcard::to_stdvec(&frame.deliveries).unwrap().len() < BODY_MAX);
    }
}

#[test]
fn forwarded_call_carries_the_raised_token_of_its_worker() {
    let now = Instant::now();
    let (leader, leader_token) = (ControllerId::new("a"), FencingToken(3));
    let raised = leader_token.raised(leader_token).unwrap();
    let mut deliveries = PendingDeliveries::new(0);
    deliveries.begin_term(leader_token);
    let address: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let call = DirectCall::Do(start_batch(raised.0));
    deliveries.push(&ControllerId::new("b"), machine(), address, call, now);
    let delivery = deliveries.take_frames().pop().unwrap().deliveries.pop().unwrap();
    let mut forwarded = ForwardedCalls::new();
    assert!(forwarded.begin(&leader, leader_token, &delivery));
    let DirectCall::Do(batch) = delivery.into_direct_call(leader_token) else { panic!() };
    assert_eq!((batch.token, &batch.commands), (raised, &start_batch(raised.0).commands));
    assert!(forwarded.end(&machine(), Some(&batch), &Ok(heartbeat()), now));
}
