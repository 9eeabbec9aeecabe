//! Bodies of answers that are cut anywhere, under each framing.
#![expect(
    clippy::unwrap_used,
    reason = "fixtures fail by panicking, like the tests that use them"
)]

use std::time::Duration;

use amaranthscale::connection::{BodyEnd, BodyPart, FramedBody, Http1Connection};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const CONTENT: &str = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const TIMEOUT: Duration = Duration::from_secs(5);

/// How a fake server ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionEnd {
    Orderly,
    Reset,
}

/// What a reader learns of an answer.
#[derive(Debug, PartialEq, Eq)]
enum Read {
    NoHead,
    Truncated,
    Ended(BodyEnd, String),
}

fn length_answer(content: &str) -> String {
    let length = content.len();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{content}")
}

fn chunked_answer(content: &str, trailers: &str) -> String {
    let (first, second) = content.split_at(20);
    let chunks = [first, second].map(|chunk| format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    let chunks = chunks.concat();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n{trailers}\r\n")
}

fn close_delimited_answer(content: &str, version: &str) -> String {
    format!("HTTP/{version} 200 OK\r\n\r\n{content}")
}

/// Sends bytes as the answer to one request, and reads them as a client.
async fn read(answer: &str, end: ConnectionEnd) -> Read {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let answer = answer.to_owned();
    let (is_read, read_once) = tokio::sync::oneshot::channel::<()>();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1024];
        let _ = stream.read(&mut request).await;
        let _ = stream.write_all(answer.as_bytes()).await;
        if end == ConnectionEnd::Reset {
            // A reset discards what the reader has not received yet.
            let _ = tokio::time::timeout(Duration::from_millis(2), read_once).await;
            stream.set_zero_linger().unwrap();
        }
    });
    let mut connection = Http1Connection::open(address, TIMEOUT).await.unwrap();
    let request = Request::get("/").body(Full::<Bytes>::default()).unwrap();
    let Ok(answer) = connection.send(request).await else {
        return Read::NoHead;
    };
    let (_head, mut body) = FramedBody::split(answer);
    let mut content = Vec::new();
    let read = async {
        loop {
            match body.next().await {
                Ok(BodyPart::Data(data)) => content.extend_from_slice(&data),
                Ok(BodyPart::End(end)) => return Some(end),
                Err(_truncated) => return None,
            }
        }
    };
    let end = tokio::time::timeout(TIMEOUT, read).await.unwrap();
    drop(is_read);
    match end {
        Some(end) => Read::Ended(end, String::from_utf8(content).unwrap()),
        None => Read::Truncated,
    }
}

/// Guards against a truncated body whose end counts as stated.
#[tokio::test]
async fn a_framed_body_that_is_cut_anywhere_never_ends_as_stated() {
    let answers = [
        length_answer(CONTENT),
        chunked_answer(CONTENT, ""),
        chunked_answer(CONTENT, "X-Trailer: 1\r\n"),
    ];
    for answer in answers {
        for cut in 0..answer.len() {
            for end in [ConnectionEnd::Orderly, ConnectionEnd::Reset] {
                let read = read(&answer[..cut], end).await;

                let is_refused = matches!(read, Read::NoHead | Read::Truncated);
                assert!(is_refused, "{end:?} after {cut} bytes: {read:?}");
            }
        }
    }
}

#[tokio::test]
async fn a_whole_body_with_a_stated_end_is_complete_however_its_connection_ends() {
    let whole = Read::Ended(BodyEnd::Stated, CONTENT.to_owned());
    for answer in [
        length_answer(CONTENT),
        chunked_answer(CONTENT, "X-Trailer: 1\r\n"),
    ] {
        assert_eq!(read(&answer, ConnectionEnd::Orderly).await, whole);
    }
}

/// Guards against a body that ends with its connection and counts as stated.
#[tokio::test]
async fn a_close_delimited_body_ends_with_its_connection_wherever_it_is_cut() {
    for version in ["1.0", "1.1"] {
        let answer = close_delimited_answer(CONTENT, version);
        let head_bytes = answer.len() - CONTENT.len();
        for cut in head_bytes..=answer.len() {
            let orderly = read(&answer[..cut], ConnectionEnd::Orderly).await;

            let content = answer[head_bytes..cut].to_owned();
            let ended = Read::Ended(BodyEnd::ConnectionClosed, content);
            assert_eq!(orderly, ended, "after {cut} bytes");
        }
    }
}

/// Guards against a reset that is taken for the end of a close-delimited body.
#[tokio::test]
async fn a_close_delimited_body_whose_connection_is_reset_is_truncated() {
    let answer = close_delimited_answer(CONTENT, "1.1");
    let head_bytes = answer.len() - CONTENT.len();
    for cut in head_bytes..=answer.len() {
        let read = read(&answer[..cut], ConnectionEnd::Reset).await;

        let is_refused = matches!(read, Read::NoHead | Read::Truncated);
        assert!(is_refused, "after {cut} bytes: {read:?}");
    }
}

/// Guards against bytes beyond a stated length that reach the reader.
#[tokio::test]
async fn bytes_after_the_stated_length_are_not_part_of_the_body() {
    let answer = length_answer(CONTENT) + "id: 3\n";

    let read = read(&answer, ConnectionEnd::Orderly).await;

    assert_eq!(read, Read::Ended(BodyEnd::Stated, CONTENT.to_owned()));
}
