use super::framing::{decode_body, encode_frame};
use super::{MESH_PROTOCOL, PeerCapabilities, PeerMessage, decode_text, dial, encode_text, serve};
use crate::controller::STATUS_INTERVAL;
use crate::ids::{ControllerId, FencingToken, JobId};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep;

fn beat(seq: u64) -> PeerMessage {
    PeerMessage::RunningTasks { token: FencingToken(seq), counts: vec![(JobId::new("wk-1"), 1)] }
}

/// What stands behind a status in its frame is read by who knows of it; the message before it is the same to the
/// byte, and a status without it tells nothing. Versions before this one read a message and no more of its frame.
#[test]
fn what_else_a_status_tells_stands_behind_it() {
    let extra = PeerCapabilities { protocol: MESH_PROTOCOL, free_sockets_permille: 700 };
    let status = |extra| PeerMessage::PeerStatus {
        from: ControllerId::new("a"),
        seq: 1,
        leading: None,
        state_lost: false,
        ack: (FencingToken(0), 0),
        up_ms: 5,
        answered_for_leader: Vec::new(),
        worker_ms: None,
        extra,
    };
    let bytes = encode_frame(&status(extra)).unwrap().split_off(4);
    let plain = postcard::to_stdvec(&status(PeerCapabilities::default())).unwrap();
    assert_eq!(bytes[..plain.len()], plain);
    assert_eq!(decode_body(&bytes).unwrap(), status(extra));
    assert_eq!(decode_body(&plain).unwrap(), status(PeerCapabilities::default()));
    assert_eq!(
        postcard::from_bytes::<PeerMessage>(&bytes).unwrap(),
        status(PeerCapabilities::default())
    );
    assert_eq!(
        decode_text(&encode_text(&status(extra)).unwrap()).unwrap(),
        status(PeerCapabilities::default())
    );
}

/// Messages of any size arrive in order, whatever is in the way of their acknowledgements.
#[tokio::test]
async fn messages_arrive_in_order_and_large_ones_whole() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (to, mut heard) = mpsc::unbounded_channel();
    tokio::spawn(serve(listener, to));
    let (tx, rx) = mpsc::channel(300);
    tokio::spawn(dial(address, rx, watch::Sender::default()));
    let counts = (0..4_000).map(|n| (JobId::new(&format!("wk-{n:09}")), n)).collect();
    let large = PeerMessage::RunningTasks { token: FencingToken(7), counts };
    for seq in 0..200 {
        tx.send(beat(seq)).await.unwrap();
    }
    tx.send(large.clone()).await.unwrap();
    for seq in 0..200 {
        assert_eq!(heard.recv().await.unwrap(), beat(seq));
    }
    assert_eq!(heard.recv().await.unwrap(), large);
}

/// A peer that reads and acknowledges nothing is dialled anew, as is one that went away.
#[tokio::test(start_paused = true)]
async fn a_peer_that_acknowledges_nothing_is_dialled_anew() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (tx, rx) = mpsc::channel(32);
    tokio::spawn(dial(listener.local_addr().unwrap(), rx, watch::Sender::default()));
    let mut held = Vec::new();
    for round in 0..3 {
        held.push(listener.accept().await.unwrap());
        if round == 1 {
            held.clear();
        }
        for seq in 0..5 {
            let _ = tx.try_send(beat(seq));
            sleep(STATUS_INTERVAL).await;
        }
    }
}
