use super::{CallError, Client, Method, Request, Response, serve};
use crate::constants::MAX_UNHANDLED_REQUESTS;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout};

/// Of many simultaneous requests, only a bounded number is read before some are handled; all get responses in the end.
#[tokio::test]
async fn simultaneous_requests_are_read_up_to_the_bound_and_all_get_responses() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, mut requests) = mpsc::channel(10 * MAX_UNHANDLED_REQUESTS);
    let (count, _count_receiver) = watch::channel(0);
    tokio::spawn(serve(listener, usize::MAX, MAX_UNHANDLED_REQUESTS, sender, count));
    let total = MAX_UNHANDLED_REQUESTS + 50;
    let client = Client::start(0, vec![]);
    let calls: Vec<_> = (0..total)
        .map(|_| {
            let client = client.clone();
            tokio::spawn(async move {
                let request = Request { method: Method::Get, target: "/".into(), body: vec![] };
                let deadline = Instant::now() + Duration::from_secs(60);
                client.call(address, request, deadline).await
            })
        })
        .collect();
    let mut unhandled = Vec::new();
    while unhandled.len() < MAX_UNHANDLED_REQUESTS {
        unhandled.push(requests.recv().await.unwrap());
    }
    // No other request is read until one of these is handled.
    for _ in 0..1000 {
        tokio::task::yield_now().await;
    }
    assert!(requests.try_recv().is_err());
    let mut answered = 0;
    while answered < total {
        let incoming = match unhandled.pop() {
            Some(incoming) => incoming,
            None => requests.recv().await.unwrap(),
        };
        drop(incoming.permit);
        let _ = incoming.reply.send(Response::empty(200));
        answered += 1;
    }
    for call in calls {
        assert_eq!(call.await.unwrap().map(|response| response.status), Ok(200));
    }
}

/// A process must not send a request after a stall if the deadline of the call passed meanwhile.
#[tokio::test]
async fn call_past_its_deadline_is_never_sent() {
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
