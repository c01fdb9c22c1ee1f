use super::*;

#[test]
fn hostile_requests_get_a_verdict_and_no_panic() {
    let cases: [(&[u8], Result<(), CodecError>); 8] = [
        (b"GET /up HTTP/1.1\r\n\r\n", Ok(())),
        (b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Err(CodecError::Malformed)),
        (b"POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", Err(CodecError::BodyTooLarge)),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
            Err(CodecError::BodyTooLarge),
        ),
        (
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            Err(CodecError::Malformed),
        ),
        (
            b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n",
            Err(CodecError::BodyTooLarge),
        ),
        (b"\x00\x01\x02\r\n\r\n", Err(CodecError::Malformed)),
        (b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", Ok(())),
    ];
    for (bytes, want) in cases {
        let got = parse_request(bytes).map(|parsed| assert!(matches!(parsed, Parsed::Done(..))));
        assert_eq!(got, want, "{:?}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(parse_request(&vec![b'a'; HEAD_MAX + 1]).err(), Some(CodecError::HeadTooLarge));
}

#[test]
fn no_bytes_make_a_parser_panic() {
    use proptest::prelude::*;
    use proptest::test_runner::TestRunner;
    // The same cases each time: a verdict must not depend on luck.
    let mut runner = TestRunner::deterministic();
    let line = "(GET|POST|HTTP/1.1|200) ?[ -~]{0,20}";
    let head = "(Content-Length|Transfer-Encoding): ?[0-9a-f]{0,24}";
    let cases = (line, head, proptest::collection::vec(any::<u8>(), 0..200));
    let result = runner.run(&cases, |(line, head, rest)| {
        let mut bytes = format!("{line}\r\n{head}\r\n\r\n").into_bytes();
        bytes.extend(&rest);
        for bytes in [&bytes[..], &rest[..]] {
            let _ = parse_request(bytes);
            let _ = parse_response(bytes);
            let _ = dechunk(bytes, 100);
            let _ = crate::wire::decode::<crate::wire::Heartbeat>(bytes);
            let _ = crate::wire::decode::<crate::wire::JobSpec>(bytes);
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn every_prefix_of_a_request_is_partial_and_the_whole_is_read_once() {
    let whole: &[u8] = b"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nhi\r\n3\r\nyou\r\n0\r\n\r\n";
    for end in 0..whole.len() {
        assert!(matches!(parse_request(&whole[..end]), Ok(Parsed::Partial)), "{end}");
    }
    let Ok(Parsed::Done((request, close), used)) = parse_request(whole) else { panic!() };
    assert_eq!((request.body.as_slice(), close, used), (&b"hiyou"[..], true, whole.len()));
}

#[test]
fn a_response_survives_its_own_encoding() {
    let response = Response { close: true, ..Response::later(503) };
    let bytes = encode_response(&response, true);
    assert_eq!(parse_response(&bytes), Ok(Parsed::Done((response, true), bytes.len())));
}

/// Hundreds of idle connections to workers must leave sockets for their reports.
#[tokio::test]
async fn idle_connections_are_bounded_but_not_those_to_the_state_service() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let to = listener.local_addr().unwrap();
    let mut held = Vec::new();
    let state = SocketAddr::from(([127, 0, 0, 1], 1));
    let mut pool = Pool { most: 2, always: vec![state], ..Pool::default() };
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
    assert_eq!(pool.count, 1);
    // Where sockets get short, what is idle goes first.
    pool.bound(0);
    assert_eq!((workers(&pool), pool.count), (0, 0));
    assert!(pool.idle.contains_key(&state));
}

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

/// What was opened to workers is closed once it is too old to be used again, though only others are called by then.
#[tokio::test]
async fn idle_connections_that_nobody_uses_are_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stream = TcpStream::connect(address).await.unwrap();
    let mut pool = Pool { most: 8, ..Pool::default() };
    pool.keep(address, stream);
    pool.sweep_if_due();
    assert_eq!(pool.count, 1);
    tokio::time::pause();
    tokio::time::advance(REUSE_WITHIN * 2).await;
    pool.sweep_if_due();
    assert_eq!((pool.count, pool.idle.len()), (0, 0));
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
