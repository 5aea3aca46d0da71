//! A whole answer and a cut one are told apart, which is what answers are checked by.

use bytes::Bytes;
use hyssopfork_exchange::{connection, error};
use hyssopfork_test_support::{engine, http, service};
use std::io::{Read, Write};
use std::net;
use std::thread;

const LODGE: connection::Request<'static> =
    connection::Request { method: "POST", path: "/lodgements", headers: &[] };

fn body() -> Bytes {
    Bytes::from_static(b"{\"reference\":\"r-1\"}")
}

fn start_service() -> http::Server {
    let listener = http::free_listener().expect("a free port");
    service::start(listener, service::Profile::default()).expect("it starts").0
}

/// A peer that answers the first request with `answer` and closes.
fn scripted(answer: &'static [u8]) -> net::SocketAddr {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller comes");
        let mut request = [0; 4096];
        let length = stream.read(&mut request).expect("a request comes");
        assert!(length > 0);
        stream.write_all(answer).expect("the answer goes out");
    });
    address
}

async fn exchange(address: net::SocketAddr) -> Result<Bytes, error::Error> {
    let mut connection = connection::Connection::connect(address).await?;
    connection.send(&LODGE, body()).await?;
    connection.read_head().await?;
    connection.read_rest().await
}

#[actix_rt::test]
async fn whole_answer_is_read_and_the_connection_used_again() {
    let server = start_service();
    let mut connection =
        connection::Connection::connect(server.address()).await.expect("it listens");

    for _ in 0..2 {
        connection.send(&LODGE, body()).await.expect("sent");
        let head = connection.read_head().await.expect("answered");
        let rest = connection.read_rest().await.expect("whole");

        assert_eq!(head.status, 201);
        assert_eq!(head.header("content-type"), Some("application/json"));
        assert!(rest.starts_with(b"{"));
        assert!(connection.is_reusable());
    }
}

// A back end breaks off in the middle of an answer whose length it gave. A caller that took the
// end of the connection for the end of the answer would hand on half a receipt as a whole one.
#[actix_rt::test]
async fn answer_cut_before_its_length_is_an_error() {
    let server = start_service();
    let cut = connection::Request { path: "/fake/cut?after=5", ..LODGE };
    let mut order = connection::Connection::connect(server.address()).await.expect("it listens");
    order.send(&cut, Bytes::new()).await.expect("sent");
    order.read_head().await.expect("answered");

    let answer = exchange(server.address()).await;

    assert!(matches!(answer, Err(error::Error::ConnectionLost)), "{answer:?}");
}

// The same in a stream of chunks: no length was promised, only the last chunk says that it ended.
#[actix_rt::test]
async fn chunked_answer_without_its_last_chunk_is_an_error() {
    let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";

    let cut = exchange(scripted(answer)).await;

    assert!(matches!(cut, Err(error::Error::ConnectionLost)), "{cut:?}");
}

#[actix_rt::test]
async fn chunked_answer_with_its_last_chunk_is_whole() {
    let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

    let whole = exchange(scripted(answer)).await;

    assert_eq!(whole.expect("whole"), Bytes::from_static(b"abc"));
}

#[actix_rt::test]
async fn answer_that_only_the_connection_ends_is_refused() {
    let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nabc";

    let unframed = exchange(scripted(answer)).await;

    assert!(matches!(unframed, Err(error::Error::Unframed)), "{unframed:?}");
}

#[actix_rt::test]
async fn answer_without_body_is_whole() {
    let empty = exchange(scripted(b"HTTP/1.1 204 No Content\r\n\r\n")).await;

    assert_eq!(empty.expect("whole"), Bytes::new());
}

#[actix_rt::test]
async fn peer_that_is_no_http_server_is_named() {
    let other = exchange(scripted(b"SSH-2.0-OpenSSH\r\n\r\n")).await;

    assert!(matches!(other, Err(error::Error::Malformed(_))), "{other:?}");
}

#[actix_rt::test]
async fn closed_port_is_unreachable_and_nothing_was_sent() {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);

    let unreachable = exchange(address).await;

    assert!(matches!(unreachable, Err(error::Error::Unreachable(..))), "{unreachable:?}");
}

#[actix_rt::test]
async fn stream_comes_part_by_part() {
    let listener = http::free_listener().expect("a free port");
    let (server, _) = engine::start(listener, engine::Profile::default()).expect("it starts");
    let order = connection::Request { path: "/orders/load", ..LODGE };
    let request = connection::Request { path: "/v1/completions", ..LODGE };
    let mut connection =
        connection::Connection::connect(server.address()).await.expect("it listens");
    let load = Bytes::from_static(b"{\"fence\":1,\"model\":\"m\",\"rank\":0}");
    connection.send(&order, load).await.expect("sent");
    connection.read_head().await.expect("answered");
    connection.read_rest().await.expect("whole");

    let body = Bytes::from_static(b"{\"prompt\":\"a [#r]\",\"max_tokens\":3,\"stream\":true}");
    connection.send(&request, body).await.expect("sent");
    connection.read_head().await.expect("answered");
    let mut parts = Vec::new();
    while let Some(part) = connection.read_part().await.expect("not cut") {
        parts.push(part);
    }

    assert!(parts.len() >= 3, "{parts:?}");
    assert!(parts.last().expect("some").ends_with(b"[DONE]\n\n"));
}

#[actix_rt::test]
async fn header_that_is_no_http_is_refused_before_anything_is_sent() {
    let server = start_service();
    let mut connection =
        connection::Connection::connect(server.address()).await.expect("it listens");
    let headers = [("x-team".to_owned(), "a\r\nb".to_owned())];
    let request = connection::Request { headers: &headers, ..LODGE };

    let refused = connection.send(&request, body()).await;

    assert!(matches!(refused, Err(error::Error::Unsendable("header value"))), "{refused:?}");
}

/// A peer that answers with `answer` as soon as the connection opens, and reads nothing.
fn hasty(answer: &'static [u8]) -> net::SocketAddr {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller comes");
        stream.write_all(answer).expect("the caller is there");
        thread::sleep(std::time::Duration::from_millis(300));
    });
    address
}

/// An answer without length and chunks lasts until the peer closes; a caller that asked for such
/// answers gets all of it.
#[actix_rt::test]
async fn a_body_that_lasts_until_the_connection_closes_is_whole() {
    let address = scripted(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it");
    let mut connection = connection::Connection::connect(address).await.expect("it listens");
    connection.allow_unframed();

    connection.send(&LODGE, body()).await.expect("it is sent");
    connection.read_head().await.expect("a head comes");

    assert_eq!(
        connection.read_rest().await.expect("it is whole"),
        Bytes::from_static(b"all of it")
    );
    assert!(!connection.is_reusable());
}

/// The peer answers before it has read a long request, and would read the rest as the start of
/// another one. The caller gets the answer, and uses the connection for nothing else.
#[actix_rt::test]
async fn a_connection_whose_peer_answered_early_is_not_used_again() {
    let address = hasty(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
    let mut connection = connection::Connection::connect(address).await.expect("it listens");
    let long = Bytes::from(vec![b'x'; 32 << 20]);

    connection.send(&LODGE, long).await.expect("an answer ends the sending");
    let head = connection.read_head().await.expect("it has come");

    assert_eq!(head.status, 413);
    assert!(!connection.is_reusable());
}

#[actix_rt::test]
async fn bytes_between_two_answers_show() {
    let address = hasty(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let connection = connection::Connection::connect(address).await.expect("it listens");
    actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;

    assert!(!connection.is_idle());
}
