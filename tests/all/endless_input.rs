//! Parts of a request's body that are no body, lines of chunks and trailers, are bounded like
//! the rest, and what goes beyond is refused by an answer.

use crate::site::{self, Answer, Caller, HOST, list_plain, plain_server};

/// More than any line of a chunked body may have, and little enough to be read whole before
/// the answer comes, so that the connection is not reset.
const LONG: usize = 20 << 10;

/// The answer to a chunked body that goes on until its bytes end.
fn answer_to(body: &[u8]) -> Option<Answer> {
    let store = site::store(&[]);
    let server = plain_server();
    list_plain(&store, "i-0", server.address, "ready");
    let instance = site::ready("n", &store);
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
    body.resize(LONG, b'x');
    let answer = answer_to(&body).expect("an answer");
    assert_eq!(answer.status, 413);
}

#[test]
fn long_trailer() {
    let mut body = b"2\r\nhi\r\n0\r\n".to_vec();
    // Short lines, so that it is their sum that is bounded.
    while body.len() < LONG {
        body.extend_from_slice(b"a: b\r\n");
    }
    let answer = answer_to(&body).expect("an answer");
    assert_eq!(answer.status, 413);
}

#[test]
fn short_lines_pass() {
    let body = b"2;name=value\r\nhi\r\n0\r\nTrailer: value\r\n\r\n";
    let answer = answer_to(body).expect("an answer");
    assert_eq!((answer.status, answer.whole), (200, true));
}
