//! An entry's limits for client connections, as set in its settings.

use crate::support::{daemon, layout};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time within which a process must listen and respond. Shorter than the defaults of all limits, so
/// that an entry that ignores its settings fails the tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(4);

/// Starts an entry with short limits and without a control instance, which rejections don't need.
fn start_entry(layout: &layout::Layout, limits: &str) -> (daemon::Daemon, SocketAddr) {
    let listen = layout.address();
    let text = format!(
        r#"{{ "instance": "entry-1", "zone": "zone-a", "roles": ["entry"],
              "control_addresses": ["{}"], "metrics_listen": "{}",
              "entry": {{ "listen": "{listen}", {limits} }} }}"#,
        layout.address(),
        layout.address(),
    );
    let daemon = daemon::Daemon::start(&layout.folder, "entry-1", &text);
    (daemon, listen)
}

fn connect(address: SocketAddr) -> TcpStream {
    let start = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
                return stream;
            }
            Err(error) => assert!(start.elapsed() < WAIT_TIMEOUT, "{error}"),
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn send(address: SocketAddr, bytes: &str) -> String {
    let mut stream = connect(address);
    stream.write_all(bytes.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

#[test]
fn a_head_that_does_not_arrive_in_time_is_rejected() {
    let layout = layout::Layout::new();
    let (_entry, address) = start_entry(&layout, r#""head_timeout_ms": 200"#);

    let response = send(address, "POST /lodge HTTP/1.1\r\nhost: a\r\n");

    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
}

#[test]
fn a_body_that_does_not_arrive_in_time_is_rejected_as_not_run() {
    let layout = layout::Layout::new();
    let (_entry, address) = start_entry(&layout, r#""body_timeout_ms": 200"#);
    let head = "POST /lodge HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 9\r\n\r\n";

    let response = send(address, &format!("{head}part"));

    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains("not_run"), "{response}");
}

#[test]
fn a_body_over_the_limit_is_rejected_as_not_run() {
    let layout = layout::Layout::new();
    let (_entry, address) = start_entry(&layout, r#""body_limit_bytes": 8"#);
    let head = "POST /lodge HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 9\r\n\r\n";

    let response = send(address, &format!("{head}123456789"));

    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    assert!(response.contains("not_run"), "{response}");
}

#[test]
fn an_idle_connection_is_closed_after_its_keep_alive_time() {
    let layout = layout::Layout::new();
    let (_entry, address) = start_entry(&layout, r#""keep_alive_ms": 200"#);

    let response = send(address, "GET /healthz HTTP/1.1\r\nhost: a\r\n\r\n");

    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

#[test]
fn connections_over_the_limit_wait_until_others_end() {
    let layout = layout::Layout::new();
    let (_entry, address) = start_entry(&layout, r#""connection_limit": 1"#);
    let first = connect(address);
    std::thread::sleep(Duration::from_millis(100));
    let mut second = connect(address);
    second.write_all(b"GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").unwrap();

    second.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    let early = second.read(&mut [0; 16]);
    drop(first);
    second.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut response = String::new();
    second.read_to_string(&mut response).unwrap();

    assert!(early.is_err(), "{early:?}");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}
