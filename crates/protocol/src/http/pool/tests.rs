use super::Pool;
use crate::constants::{IDLE_PER_ADDRESS, REUSE_WITHIN};
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

/// Hundreds of idle connections to workers must leave sockets for their reports.
#[tokio::test]
async fn idle_connections_are_bounded_but_not_those_to_the_state_service() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let mut held = Vec::new();
    let state = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut pool = Pool::new(2, vec![state]);
    for port in 10..15 {
        for address in [SocketAddr::from(([127, 0, 0, 1], port)), state] {
            let stream = TcpStream::connect(to).await.unwrap();
            held.push(listener.accept().await.unwrap());
            pool.keep(address, stream);
        }
    }
    let workers = |pool: &Pool| pool.idle.keys().filter(|at| **at != state).count();
    assert_eq!((workers(&pool), pool.idle[&state].len()), (2, IDLE_PER_ADDRESS));
    assert!(pool.take(&SocketAddr::from(([127, 0, 0, 1], 10))).is_some());
    assert!(pool.take(&state).is_some());
    assert_eq!(pool.counted, 1);
    // Where sockets get short, what is idle goes first.
    pool.set_max_idle(0);
    assert_eq!((workers(&pool), pool.counted), (0, 0));
    assert!(pool.idle.contains_key(&state));
}

/// What was opened to workers is closed once it is too old to be used again, though only others are called by then.
#[tokio::test]
async fn idle_connections_that_nobody_uses_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let mut pool = Pool::new(8, vec![]);
    pool.keep(address, stream);
    pool.sweep_if_due();
    assert_eq!(pool.counted, 1);
    tokio::time::pause();
    tokio::time::advance(REUSE_WITHIN * 2).await;
    pool.sweep_if_due();
    assert_eq!((pool.counted, pool.idle.len()), (0, 0));
}
