use super::{CallError, Client, Method, Request, Response, serve};
use crate::constants::READ_TOGETHER;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};

/// Thousands that come at once are read a few at a time, and all are answered in the end.
#[tokio::test]
async fn requests_that_come_together_are_read_a_few_at_a_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (to, mut from) = mpsc::channel(10 * READ_TOGETHER);
    let (count, _open) = watch::channel(0);
    tokio::spawn(serve(listener, usize::MAX, READ_TOGETHER, to, count));
    let all = READ_TOGETHER + 50;
    let client = Client::start(0, vec![]);
    let calls: Vec<_> = (0..all)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move {
                let request = Request { method: Method::Get, target: "/".into(), body: vec![] };
                let until = Instant::now() + Duration::from_secs(60);
                client.call(address, request, until).await
            })
        })
        .collect();
    let mut held = Vec::new();
    while held.len() < READ_TOGETHER {
        held.push(from.recv().await.unwrap());
    }
    // Nobody else is read while these wait, however long that is.
    for _ in 0..1000 {
        tokio::task::yield_now().await;
    }
    assert!(from.try_recv().is_err());
    let mut answered = 0;
    while answered < all {
        let incoming = match held.pop() {
            Some(incoming) => incoming,
            None => from.recv().await.unwrap(),
        };
        drop(incoming.turn);
        let _ = incoming.reply.send(Response::empty(200));
        answered += 1;
    }
    for call in calls {
        assert_eq!(call.await.unwrap().map(|response| response.status), Ok(200));
    }
}

/// A call that a process decided before it stood still must not go out when it wakes.
#[tokio::test]
async fn a_call_whose_time_is_over_is_never_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = Client::start(4, vec![]);
    let request = Request { method: Method::Post, target: "/do".into(), body: vec![1] };
    let result = client.call(address, request, Instant::now()).await;
    assert_eq!(result, Err(CallError::NotSent));
    drop(client);
    if let Ok(Ok((mut stream, _))) = timeout(Duration::from_millis(200), listener.accept()).await {
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.unwrap();
        assert!(bytes.is_empty());
    }
}
