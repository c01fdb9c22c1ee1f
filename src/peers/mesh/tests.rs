use super::framing::{decode_body, encode_frame};
use super::{MESH_PROTOCOL, PeerCapabilities, PeerMessage, decode_text, dial, encode_text, serve};
use crate::controller::STATUS_INTERVAL;
use crate::ids::{ControllerId, FencingToken, JobId};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

fn numbered_message(seq: u64) -> PeerMessage {
    PeerMessage::RunningTasks { token: FencingToken(seq), counts: vec![(JobId::new("wk-1"), 1)] }
}

/// Earlier versions read only the message at the start of a frame, so its bytes must not depend on the capabilities
/// after it. A status without capabilities is read as one with the default capabilities.
#[test]
fn capabilities_follow_a_status_and_earlier_versions_ignore_them() {
    let capabilities = PeerCapabilities { protocol: MESH_PROTOCOL, free_sockets_permille: 700 };
    let status = |capabilities| PeerMessage::PeerStatus {
        from: ControllerId::new("a"),
        seq: 1,
        leading: None,
        store_unavailable: false,
        acknowledged_grant: (FencingToken(0), 0),
        uptime_ms: 5,
        answered_for_leader: Vec::new(),
        last_heartbeat_age_ms: None,
        capabilities,
    };
    let bytes = encode_frame(&status(capabilities)).unwrap().split_off(4);
    let without_capabilities = postcard::to_stdvec(&status(PeerCapabilities::default())).unwrap();
    assert_eq!(bytes[..without_capabilities.len()], without_capabilities);
    assert_eq!(decode_body(&bytes).unwrap(), status(capabilities));
    assert_eq!(decode_body(&without_capabilities).unwrap(), status(PeerCapabilities::default()));
    assert_eq!(
        postcard::from_bytes::<PeerMessage>(&bytes).unwrap(),
        status(PeerCapabilities::default())
    );
    assert_eq!(
        decode_text(&encode_text(&status(capabilities)).unwrap()).unwrap(),
        status(PeerCapabilities::default())
    );
}

/// Acknowledgements that the dialer has not read yet must not delay or reorder later messages.
#[tokio::test]
async fn messages_of_any_size_arrive_complete_and_in_order() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut received) = mpsc::unbounded_channel();
    tokio::spawn(serve(listener, sender));
    let (tx, rx) = mpsc::channel(300);
    tokio::spawn(dial(address, rx, watch::Sender::default()));
    let counts = (0..4_000).map(|n| (JobId::new(&format!("wk-{n:09}")), n)).collect();
    let large = PeerMessage::RunningTasks { token: FencingToken(7), counts };
    for seq in 0..200 {
        tx.send(numbered_message(seq)).await.unwrap();
    }
    tx.send(large.clone()).await.unwrap();
    for seq in 0..200 {
        assert_eq!(received.recv().await.unwrap(), numbered_message(seq));
    }
    assert_eq!(received.recv().await.unwrap(), large);
}

/// The dialer reconnects to a peer that neither reads nor acknowledges frames, and to one that closed its connection.
#[tokio::test(start_paused = true)]
async fn dialer_reconnects_to_a_peer_that_does_not_acknowledge_frames() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (tx, rx) = mpsc::channel(32);
    tokio::spawn(dial(listener.local_addr().unwrap(), rx, watch::Sender::default()));
    let mut open_connections = Vec::new();
    for round in 0..3 {
        open_connections.push(listener.accept().await.unwrap());
        if round == 1 {
            open_connections.clear();
        }
        for seq in 0..5 {
            let _ = tx.try_send(numbered_message(seq));
            sleep(STATUS_INTERVAL).await;
        }
    }
}
