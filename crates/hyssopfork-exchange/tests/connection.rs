//! Complete responses are distinguished from truncated ones, and reusable connections from others.

use bytes::Bytes;
use hyssopfork_exchange::{connection, error};
use hyssopfork_test_support::{engine, http, service};
use std::io::{Read, Write};
use std::net;
use std::thread;
use std::time::Duration;

const REQUEST: connection::Request<'static> =
    connection::Request { method: "POST", path: "/lodgements", headers: &[] };

fn body() -> Bytes {
    Bytes::from_static(b"{\"reference\":\"r-1\"}")
}

fn start_service() -> http::Server {
    let listener = http::free_listener().expect("a free port");
    service::start(listener, service::Profile::default()).expect("it starts").0
}

/// Starts a server that sends `response` to the first request and closes the connection.
fn start_scripted_server(response: &'static [u8]) -> net::SocketAddr {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        let mut request = [0; 4096];
        let length = stream.read(&mut request).expect("a request arrives");
        assert!(length > 0);
        stream.write_all(response).expect("the response is sent");
    });
    address
}

async fn exchange(address: net::SocketAddr) -> Result<Bytes, error::Error> {
    let mut connection = connection::Connection::connect(address).await?;
    connection.send(&REQUEST, body()).await?;
    connection.read_head().await?;
    connection.read_rest().await
}

#[actix_rt::test]
async fn a_connection_is_reusable_after_a_complete_response() {
    let server = start_service();
    let mut connection =
        connection::Connection::connect(server.address()).await.expect("it listens");

    for _ in 0..2 {
        connection.send(&REQUEST, body()).await.expect("sent");
        let head = connection.read_head().await.expect("a response");
        let rest = connection.read_rest().await.expect("a complete body");

        assert_eq!(head.status, 201);
        assert_eq!(head.header("content-type"), Some("application/json"));
        assert!(rest.starts_with(b"{"));
        assert!(connection.is_reusable());
    }
}

// The server closes the connection in the middle of a body with a Content-Length. A client that
// took the end of the connection for the end of the body would forward half a receipt as a complete
// one.
#[actix_rt::test]
async fn a_response_shorter_than_its_length_is_an_error() {
    let server = start_service();
    let truncate = connection::Request { path: "/fake/cut?after=5", ..REQUEST };
    let mut setup = connection::Connection::connect(server.address()).await.expect("it listens");
    setup.send(&truncate, Bytes::new()).await.expect("sent");
    setup.read_head().await.expect("a response");

    let truncated = exchange(server.address()).await;

    assert!(matches!(truncated, Err(error::Error::ConnectionLost)), "{truncated:?}");
}

// A chunked body has no length: only its last chunk marks its end.
#[actix_rt::test]
async fn a_chunked_response_without_its_last_chunk_is_an_error() {
    let response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n";

    let truncated = exchange(start_scripted_server(response)).await;

    assert!(matches!(truncated, Err(error::Error::ConnectionLost)), "{truncated:?}");
}

#[actix_rt::test]
async fn a_chunked_response_with_its_last_chunk_is_complete() {
    let response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";

    let body = exchange(start_scripted_server(response)).await;

    assert_eq!(body.expect("a complete body"), Bytes::from_static(b"abc"));
}

#[actix_rt::test]
async fn a_body_that_lasts_until_the_connection_closes_is_an_error_by_default() {
    let response = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nabc";

    let unframed = exchange(start_scripted_server(response)).await;

    assert!(matches!(unframed, Err(error::Error::Unframed)), "{unframed:?}");
}

#[actix_rt::test]
async fn a_response_without_a_body_is_complete() {
    let empty = exchange(start_scripted_server(b"HTTP/1.1 204 No Content\r\n\r\n")).await;

    assert_eq!(empty.expect("a complete body"), Bytes::new());
}

#[actix_rt::test]
async fn a_response_that_is_not_http_is_malformed() {
    let malformed = exchange(start_scripted_server(b"SSH-2.0-OpenSSH\r\n\r\n")).await;

    assert!(matches!(malformed, Err(error::Error::Malformed(_))), "{malformed:?}");
}

/// Guards against interim responses that pass for the final one.
/// Guards against a status that no response can have and that is taken for an answer, such as 000 or 600.
#[actix_rt::test]
async fn a_status_outside_the_defined_classes_is_malformed() {
    for interim in ["", "HTTP/1.1 100 Continue\r\n\r\n"] {
        for (status, is_valid) in [
            ("200", true),
            ("425", true),
            ("599", true),
            ("000", false),
            ("099", false),
            ("600", false),
            ("999", false),
            ("20", false),
            ("2000", false),
            ("-1", false),
        ] {
            let response =
                format!("{interim}HTTP/1.1 {status} Status\r\nContent-Length: 2\r\n\r\nok");
            let address = start_scripted_server(response.leak().as_bytes());

            let result = exchange(address).await;

            let case = format!("{status} after {interim:?}: {result:?}");
            match result {
                Ok(body) => assert!(is_valid && body == "ok", "{case}"),
                Err(error) => {
                    assert!(!is_valid && matches!(error, error::Error::Malformed(_)), "{case}");
                }
            }
        }
    }
}

#[actix_rt::test]
async fn interim_responses_are_dropped() {
    let response = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nx-a: 1\r\n\r\n\
        HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nabc";
    let address = start_scripted_server(response);
    let mut connection = connection::Connection::connect(address).await.expect("it listens");
    connection.send(&REQUEST, body()).await.expect("sent");

    let head = connection.read_head().await.expect("a final response");

    assert_eq!((head.status, head.header("x-a")), (200, None));
    let rest = connection.read_rest().await.expect("a complete body");
    assert_eq!(rest, Bytes::from_static(b"abc"));
    assert!(connection.is_reusable());
}

/// Guards against waiting forever for a final response after interim ones, and against a switch to a
/// protocol that was not asked for.
#[actix_rt::test]
async fn endless_interim_responses_and_unasked_upgrades_are_malformed() {
    let endless = "HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000).into_bytes();
    let upgrade = b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n".to_vec();
    for response in [endless, upgrade] {
        let malformed = exchange(start_scripted_server(response.leak())).await;

        assert!(matches!(malformed, Err(error::Error::Malformed(_))), "{malformed:?}");
    }
}

/// Guards against a request whose body is never sent completely, because an interim response arrives
/// while it is written.
#[actix_rt::test]
async fn a_body_is_sent_completely_after_an_interim_response() {
    let length = 8 << 20;
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").expect("the client is connected");
        thread::sleep(Duration::from_millis(100));
        let mut read = 0;
        while read < length {
            read += stream.read(&mut [0; 64 << 10]).expect("the client sends");
        }
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").expect("the client reads");
    });
    let mut connection = connection::Connection::connect(address).await.expect("it listens");
    connection.set_write_timeout(Duration::from_secs(5));

    connection.send(&REQUEST, Bytes::from(vec![b'x'; length])).await.expect("sent");
    let head = connection.read_head().await.expect("a final response");

    assert_eq!(head.status, 204);
}

/// Guards against a response without an end that fills the memory of its reader.
#[actix_rt::test]
async fn a_body_beyond_the_limit_is_an_error() {
    let response = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
        3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n";
    for (limit, is_read) in [(6, true), (5, false)] {
        let address = start_scripted_server(response);
        let mut connection = connection::Connection::connect(address).await.expect("it listens");
        connection.send(&REQUEST, body()).await.expect("sent");
        connection.read_head().await.expect("a response");

        let rest = connection.read_rest_up_to(limit).await;

        assert_eq!(rest.is_ok(), is_read, "{rest:?}");
        assert!(is_read || matches!(rest, Err(error::Error::TooLong(5))));
        assert_eq!(connection.is_reusable(), is_read);
    }
}

#[actix_rt::test]
async fn a_closed_port_is_unreachable() {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    drop(listener);

    let unreachable = exchange(address).await;

    assert!(matches!(unreachable, Err(error::Error::Unreachable(..))), "{unreachable:?}");
}

#[actix_rt::test]
async fn a_stream_is_read_part_by_part() {
    let listener = http::free_listener().expect("a free port");
    let (server, _) = engine::start(listener, engine::Profile::default()).expect("it starts");
    let order = connection::Request { path: "/orders/load", ..REQUEST };
    let request = connection::Request { path: "/v1/completions", ..REQUEST };
    let mut connection =
        connection::Connection::connect(server.address()).await.expect("it listens");
    let load = Bytes::from_static(b"{\"fence\":1,\"model\":\"m\",\"rank\":0}");
    connection.send(&order, load).await.expect("sent");
    connection.read_head().await.expect("a response");
    connection.read_rest().await.expect("a complete body");

    let body = Bytes::from_static(b"{\"prompt\":\"a [#r]\",\"max_tokens\":3,\"stream\":true}");
    connection.send(&request, body).await.expect("sent");
    connection.read_head().await.expect("a response");
    let mut parts = Vec::new();
    while let Some(part) = connection.read_part().await.expect("not truncated") {
        parts.push(part);
    }

    assert!(parts.len() >= 3, "{parts:?}");
    assert!(parts.last().expect("parts").ends_with(b"[DONE]\n\n"));
}

#[actix_rt::test]
async fn an_invalid_header_value_is_rejected_as_unsendable() {
    let server = start_service();
    let mut connection =
        connection::Connection::connect(server.address()).await.expect("it listens");
    let headers = [("x-team".to_owned(), "a\r\nb".to_owned())];
    let request = connection::Request { headers: &headers, ..REQUEST };

    let rejected = connection.send(&request, body()).await;

    assert!(matches!(rejected, Err(error::Error::Unsendable("header value"))), "{rejected:?}");
}

/// Starts a server that sends `response` as soon as a client connects, and reads nothing.
fn start_early_server(response: &'static [u8]) -> net::SocketAddr {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client connects");
        stream.write_all(response).expect("the client is connected");
        thread::sleep(std::time::Duration::from_millis(300));
    });
    address
}

/// A response with neither a length nor chunks ends when the server closes the connection; a client
/// that allows such responses reads all of it.
#[actix_rt::test]
async fn an_allowed_body_that_lasts_until_the_connection_closes_is_complete() {
    let address = start_scripted_server(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it");
    let mut connection = connection::Connection::connect(address).await.expect("it listens");
    connection.allow_unframed();

    connection.send(&REQUEST, body()).await.expect("sent");
    connection.read_head().await.expect("a response");

    assert_eq!(
        connection.read_rest().await.expect("a complete body"),
        Bytes::from_static(b"all of it")
    );
    assert!(!connection.is_reusable());
}

/// The server responds before it has read a long request, and would take the rest for the start of
/// the next request. The client reads the response and does not reuse the connection.
#[actix_rt::test]
async fn a_connection_with_an_early_response_is_not_reusable() {
    let address = start_early_server(b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n");
    let mut connection = connection::Connection::connect(address).await.expect("it listens");
    let long = Bytes::from(vec![b'x'; 32 << 20]);

    connection.send(&REQUEST, long).await.expect("sending ends with the response");
    let head = connection.read_head().await.expect("a response");

    assert_eq!(head.status, 413);
    assert!(!connection.is_reusable());
}

#[actix_rt::test]
async fn a_connection_with_bytes_before_a_request_is_not_idle() {
    let address = start_early_server(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let connection = connection::Connection::connect(address).await.expect("it listens");
    actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;

    assert!(!connection.is_idle());
}

// A server that stops reading would otherwise hold the request's body for as long as it likes.
#[actix_rt::test]
async fn a_server_that_stops_reading_fails_the_request() {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let connecting = connection::Connection::connect_with_buffers(address, 64 << 10);
    let mut connection = connecting.await.expect("it listens");
    connection.set_write_timeout(Duration::from_millis(200));

    let sent = connection.send(&REQUEST, Bytes::from(vec![b'x'; 8 << 20])).await;

    assert!(matches!(sent, Err(error::Error::NotRead)), "{sent:?}");
}
