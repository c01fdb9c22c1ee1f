use super::Pool;
use crate::constants::{MAX_IDLE_PER_ADDRESS, MAX_REUSE_AGE};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

/// Hundreds of idle connections to workers must leave enough sockets for their heartbeats.
#[tokio::test]
async fn idle_connections_are_bounded_except_to_exempt_addresses() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = listener.local_addr().unwrap();
    let mut accepted = Vec::new();
    let store = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut pool = Pool::new(2, vec![store]);
    for port in 10..15 {
        for address in [SocketAddr::from(([127, 0, 0, 1], port)), store] {
            let stream = TcpStream::connect(server).await.unwrap();
            accepted.push(listener.accept().await.unwrap());
            pool.keep(address, stream);
        }
    }
    let workers = |pool: &Pool| pool.idle.keys().filter(|address| **address != store).count();
    assert_eq!((workers(&pool), pool.idle[&store].len()), (2, MAX_IDLE_PER_ADDRESS));
    assert!(pool.take(&SocketAddr::from(([127, 0, 0, 1], 10))).is_some());
    assert!(pool.take(&store).is_some());
    assert_eq!(pool.counted, 1);
    // When sockets become scarce, idle connections are closed first.
    pool.set_max_idle(0);
    assert_eq!((workers(&pool), pool.counted), (0, 0));
    assert!(pool.idle.contains_key(&store));
}

/// Connections to workers that are too old for reuse must be closed even if only other addresses are called later.
#[tokio::test]
async fn stale_idle_connections_are_closed_without_a_call_to_their_address() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let mut pool = Pool::new(8, vec![]);
    pool.keep(address, stream);
    pool.sweep_if_due();
    assert_eq!(pool.counted, 1);
    tokio::time::pause();
    tokio::time::advance(MAX_REUSE_AGE * 2).await;
    pool.sweep_if_due();
    assert_eq!((pool.counted, pool.idle.len()), (0, 0));
}
