use super::{CodecError, Parsed, decode_chunked, encode_response, parse_request, parse_response};
use crate::constants::HEAD_MAX;
use crate::http::message::Response;

#[test]
fn invalid_and_oversized_requests_return_the_matching_error() {
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
    for (bytes, expected) in cases {
        let result = parse_request(bytes).map(|parsed| assert!(matches!(parsed, Parsed::Done(..))));
        assert_eq!(result, expected, "{:?}", String::from_utf8_lossy(bytes));
    }
    assert_eq!(parse_request(&vec![b'a'; HEAD_MAX + 1]).err(), Some(CodecError::HeadTooLarge));
}

#[test]
fn parsers_never_panic_on_arbitrary_bytes() {
    use proptest::prelude::*;
    use proptest::test_runner::TestRunner;
    // Fixed seed, so the result does not depend on chance.
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
            let _ = decode_chunked(bytes, 100);
            let _ = crate::wire::decode::<crate::wire::Heartbeat>(bytes);
            let _ = crate::wire::decode::<crate::wire::JobSpec>(bytes);
        }
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
}

#[test]
fn incomplete_requests_are_partial_and_the_complete_request_is_parsed_to_its_end() {
    let complete: &[u8] = b"POST /hello HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n2\r\nhi\r\n3\r\nyou\r\n0\r\n\r\n";
    for end in 0..complete.len() {
        assert!(matches!(parse_request(&complete[..end]), Ok(Parsed::Partial)), "{end}");
    }
    let Ok(Parsed::Done((request, close), used)) = parse_request(complete) else { panic!() };
    assert_eq!((request.body.as_slice(), close, used), (&b"hiyou"[..], true, complete.len()));
}

#[test]
fn encoded_response_parses_to_the_same_response() {
    let response = Response { close: true, ..Response::retry_later(503) };
    let bytes = encode_response(&response, true);
    assert_eq!(parse_response(&bytes), Ok(Parsed::Done((response, true), bytes.len())));
}
