//! Messages between controllers: postcard-encoded, in frames and as text relayed through the store.

use crate::golden_bytes;
use crate::protocol::{attempt, commands, heartbeat, task};
use crate::sample::Sample;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::timeout;
use troutspindle::ids::{ControllerId, FencingToken, JobId, MachineId, Revision};
use troutspindle::peers::heartbeat_relay::{
    FullHeartbeat, HeartbeatResult, RelayedCommand, RelayedHeartbeat, UnchangedHeartbeat,
};
use troutspindle::peers::membership::{Member, Membership};
use troutspindle::peers::mesh::{
    PeerCapabilities, PeerMessage, decode_text, dial, encode_text, serve, split_into_chunks,
};
use troutspindle::wire::{self, CommandBatch};
use troutspindle::workers::command_delivery::{Delivery, DeliveryResult};

const TOKEN: FencingToken = FencingToken(41);

fn sender() -> ControllerId {
    ControllerId::new("n-1")
}

fn jobs() -> Vec<JobId> {
    ["wk-000412", "wk-000413"].map(JobId::new).to_vec()
}

fn machine(number: u32) -> MachineId {
    MachineId::new(&format!("i-{number:06}"))
}

fn status(extra: PeerCapabilities) -> PeerMessage {
    PeerMessage::PeerStatus {
        from: sender(),
        seq: 300,
        leading: Some(TOKEN),
        store_unavailable: true,
        acknowledged_grant: (TOKEN, 301),
        uptime_ms: 70_000,
        answered_for_leader: vec![(machine(1), 1500), (machine(3), 16)],
        last_heartbeat_age_ms: Some(12),
        capabilities: extra,
    }
}

fn plain_status() -> PeerMessage {
    PeerMessage::PeerStatus {
        from: sender(),
        seq: 1,
        leading: None,
        store_unavailable: false,
        acknowledged_grant: (FencingToken(0), 0),
        uptime_ms: 0,
        answered_for_leader: Vec::new(),
        last_heartbeat_age_ms: None,
        capabilities: PeerCapabilities::default(),
    }
}

fn capabilities() -> PeerCapabilities {
    PeerCapabilities { protocol: 1, free_sockets_permille: 700 }
}

fn lease_grant() -> PeerMessage {
    PeerMessage::LeaseGrant {
        seq: 300,
        token: TOKEN,
        number: 301,
        revoked: vec![machine(1), machine(2)],
        delegated: vec![machine(3)],
    }
}

fn plain_lease_grant() -> PeerMessage {
    PeerMessage::LeaseGrant {
        seq: 1,
        token: TOKEN,
        number: 0,
        revoked: Vec::new(),
        delegated: Vec::new(),
    }
}

fn lease_extension(cancelled: Vec<JobId>) -> PeerMessage {
    PeerMessage::LeaseExtension { from: sender(), seq: 300, token: TOKEN, cancelled }
}

fn running_tasks() -> PeerMessage {
    let counts = jobs().into_iter().zip([16, 300]).collect();
    PeerMessage::RunningTasks { token: TOKEN, counts }
}

fn cancellation_request(jobs: Vec<JobId>) -> PeerMessage {
    PeerMessage::CancellationRequest { from: sender(), seq: 300, jobs }
}

fn cancellation_ack() -> PeerMessage {
    let zones = vec![vec!["a".into(), "b".into()], Vec::new()];
    PeerMessage::CancellationAck {
        from: sender(),
        seq: 300,
        lease_revision: Revision(70_000),
        jobs: jobs(),
        placements: Some((Revision(70_001), zones)),
    }
}

fn plain_cancellation_ack() -> PeerMessage {
    PeerMessage::CancellationAck {
        from: sender(),
        seq: 1,
        lease_revision: Revision(0),
        jobs: Vec::new(),
        placements: None,
    }
}

fn shard_assignment(members: Vec<Member>) -> PeerMessage {
    PeerMessage::ShardAssignment { from: sender(), token: TOKEN, members: Membership::new(members) }
}

fn members() -> Vec<Member> {
    let member = |name: &str, zone: &str, weight| Member {
        name: ControllerId::new(name),
        zone: zone.into(),
        weight,
    };
    vec![member("n-1", "a", 1000), member("n-2", "b", 400)]
}

fn full_heartbeat() -> FullHeartbeat {
    FullHeartbeat::from(heartbeat())
}

fn relayed_heartbeats() -> PeerMessage {
    let unchanged = UnchangedHeartbeat {
        machine: machine(1),
        agent_epoch: 300,
        previous_seq: 70_000,
        seq: 70_001,
    };
    let heartbeats =
        vec![RelayedHeartbeat::Full(full_heartbeat()), RelayedHeartbeat::Unchanged(unchanged)];
    PeerMessage::RelayedHeartbeats { from: sender(), token: TOKEN, batch: 301, heartbeats }
}

fn heartbeat_results() -> PeerMessage {
    let relayed = commands().into_iter().map(RelayedCommand::from).collect();
    let results =
        vec![(0, HeartbeatResult::Accepted(relayed)), (300, HeartbeatResult::ResendInFull)];
    PeerMessage::HeartbeatResults { token: TOKEN, batch: 301, results }
}

fn relayed_commands() -> PeerMessage {
    let command = Delivery {
        number: 302,
        machine: machine(1),
        address: "10.1.0.232:9000".parse().unwrap(),
        agent_epoch: Some(300),
        commands: vec![
            RelayedCommand::Start(task(), attempt()),
            RelayedCommand::Stop(task(), attempt(), 7.5),
            RelayedCommand::Forget(task(), attempt()),
        ],
    };
    let status_request = Delivery {
        number: 303,
        address: "[::1]:9000".parse().unwrap(),
        agent_epoch: None,
        commands: Vec::new(),
        ..command.clone()
    };
    PeerMessage::RelayedCommands {
        from: sender(),
        token: TOKEN,
        commands: vec![command, status_request],
    }
}

fn commands_under_raised_token() -> Vec<RelayedCommand> {
    let token = TOKEN.raised(TOKEN).unwrap();
    let batch = CommandBatch { token, agent_epoch: Some(300), commands: commands() };
    RelayedCommand::from_batch(batch, TOKEN)
}

fn results_with_raised_token() -> PeerMessage {
    let results = vec![(0, HeartbeatResult::Accepted(commands_under_raised_token()))];
    PeerMessage::HeartbeatResults { token: TOKEN, batch: 301, results }
}

fn commands_with_raised_token() -> PeerMessage {
    let command = Delivery {
        number: 302,
        machine: machine(1),
        address: "10.1.0.232:9000".parse().unwrap(),
        agent_epoch: Some(300),
        commands: commands_under_raised_token(),
    };
    PeerMessage::RelayedCommands { from: sender(), token: TOKEN, commands: vec![command] }
}

fn command_results() -> PeerMessage {
    let results = vec![
        (302, DeliveryResult::Heartbeat(full_heartbeat())),
        (303, DeliveryResult::NotSent),
        (304, DeliveryResult::Unknown),
    ];
    PeerMessage::CommandResults { token: TOKEN, results }
}

fn message(name: &'static str, value: &PeerMessage) -> Sample {
    let text = encode_text(value).expect("a message serializes");
    Sample::read_by(name, wire::unhex(&text).expect("hexadecimal"), value, |bytes| {
        decode_text(&wire::hex(bytes)).ok()
    })
}

pub(crate) fn samples() -> Vec<Sample> {
    let text = encode_text(&lease_grant()).expect("a message serializes");
    vec![
        // The capabilities that follow a status in its frame are not part of its text.
        message("mesh-status", &status(PeerCapabilities::default())),
        message("mesh-status-plain", &plain_status()),
        message("mesh-grant", &lease_grant()),
        message("mesh-grant-plain", &plain_lease_grant()),
        message("mesh-pledge", &lease_extension(jobs())),
        message("mesh-pledge-plain", &lease_extension(Vec::new())),
        message("mesh-running", &running_tasks()),
        message("mesh-cancelling", &cancellation_request(jobs())),
        message("mesh-cancelling-plain", &cancellation_request(Vec::new())),
        message("mesh-promised", &cancellation_ack()),
        message("mesh-promised-plain", &plain_cancellation_ack()),
        message("mesh-sharing", &shard_assignment(members())),
        message("mesh-sharing-plain", &shard_assignment(Vec::new())),
        message("mesh-reports", &relayed_heartbeats()),
        message("mesh-verdicts", &heartbeat_results()),
        message("mesh-deliver", &relayed_commands()),
        message("mesh-delivered", &command_results()),
        message("mesh-verdicts-raised-token", &results_with_raised_token()),
        message("mesh-deliver-raised-token", &commands_with_raised_token()),
        Sample::written("mesh-pieces", split_into_chunks(&text, 300, 80).join("\n")),
    ]
}

/// Returns a frame with a status, followed by the encoded [`capabilities`].
fn status_frame() -> Vec<u8> {
    let body = [golden_bytes("mesh-status"), vec![0x01, 0xbc, 0x05]].concat();
    let length = u32::try_from(body.len()).unwrap();
    [&length.to_be_bytes()[..], &body].concat()
}

#[tokio::test]
async fn a_frame_is_a_length_the_message_and_the_capabilities_of_a_status() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (to_peer, outgoing) = mpsc::channel(1);
    tokio::spawn(dial(address, outgoing, watch::Sender::default()));
    to_peer.send(status(capabilities())).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut frame = vec![0; status_frame().len()];
    timeout(Duration::from_secs(10), stream.read_exact(&mut frame)).await.unwrap().unwrap();
    assert_eq!(wire::hex(&frame), wire::hex(&status_frame()));
}

#[tokio::test]
async fn a_received_frame_is_acknowledged_with_one_byte() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (received, mut messages) = mpsc::unbounded_channel();
    tokio::spawn(serve(listener, received));
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&status_frame()).await.unwrap();
    let read = timeout(Duration::from_secs(10), messages.recv()).await.unwrap();
    assert_eq!(read, Some(status(capabilities())));
    assert_eq!(stream.read_u8().await.unwrap(), 1);
}
