//! Input without an end is bounded: the chunk lines and trailers of a request's body, which are
//! refused with an answer, and an event of an upstream's stream, which fails the attempt.

use crate::cluster::{self, Answer, Caller, list_plain, plain_server};
use passway_instance::events::EventSplitter;
use passway_standins::platform::caller::HOST;

/// More than any line of a chunked body may have, but short enough to be read completely before the
/// answer, so that the connection is not reset.
const LONG_BYTES: usize = 20 << 10;

/// The answer to a chunked body that is sent without an end.
fn answer_to(body: &[u8]) -> Option<Answer> {
    let store = cluster::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = cluster::start_ready("n", &store);
    let mut caller = Caller::connect(instance.callers_address());
    let head = format!(
        "POST /read/ HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r\r\nDeadline-Ms: 8000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    caller.send(head.as_bytes());
    caller.send(body);
    caller.receive()
}

#[test]
fn long_chunk_line() {
    let mut body = b"2;".to_vec();
    body.resize(LONG_BYTES, b'x');
    let answer = answer_to(&body).expect("an answer");
    assert_eq!(answer.status, 413);
}

#[test]
fn long_trailer() {
    let mut body = b"2\r\nhi\r\n0\r\n".to_vec();
    // The lines are short, so that only their sum exceeds the bound.
    while body.len() < LONG_BYTES {
        body.extend_from_slice(b"a: b\r\n");
    }
    let answer = answer_to(&body).expect("an answer");
    assert_eq!(answer.status, 413);
}

#[test]
fn short_lines_pass() {
    let body = b"2;name=value\r\nhi\r\n0\r\nTrailer: value\r\n\r\n";
    let answer = answer_to(body).expect("an answer");
    assert_eq!((answer.status, answer.is_complete), (200, true));
}

#[test]
fn endless_event() {
    let mut splitter = EventSplitter::default();
    let chunk = [b'x'; 16 << 10];
    let mut delivered = Vec::new();
    for _ in 0..256 {
        // The reader of a stream ends it at the first error.
        let _ = splitter.push(&chunk, &mut delivered);
    }
    assert!(delivered.is_empty());
    let buffered = splitter.partial_bytes();
    assert!(
        buffered <= 2 << 20,
        "{buffered} bytes buffered of one event"
    );
}
