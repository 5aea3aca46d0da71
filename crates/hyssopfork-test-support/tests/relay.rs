//! The relay forwards bytes, and closes, blackholes and pauses connections.

use hyssopfork_test_support::{http, relay};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// Time without bytes after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout of bytes that must arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

fn echo_target() -> SocketAddr {
    let listener = http::free_listener().expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || echo_all(listener));
    address
}

fn echo_all(listener: TcpListener) {
    for stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let mut back = stream.try_clone().expect("a second handle");
            std::io::copy(&mut &stream, &mut back).ok();
        });
    }
}

fn connect(relay: &relay::Relay) -> TcpStream {
    let stream = TcpStream::connect(relay.address()).expect("the relay accepts");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("the timeout can be set");
    stream
}

fn echo(stream: &mut TcpStream) -> std::io::Result<u8> {
    let mut byte = [0];
    stream.write_all(b"x")?;
    stream.read_exact(&mut byte)?;
    Ok(byte[0])
}

/// Sends a byte and returns the error of reading it back within the silence timeout.
fn echo_error(stream: &mut TcpStream) -> std::io::Error {
    stream.set_read_timeout(Some(SILENCE_TIMEOUT)).expect("the timeout can be set");
    echo(stream).expect_err("no byte comes back")
}

#[test]
fn bytes_are_forwarded_in_both_directions() {
    let relay = relay::Relay::start(echo_target()).expect("the relay starts");

    let answer = echo(&mut connect(&relay));

    assert_eq!(answer.expect("echoed"), b'x');
}

#[test]
fn closed_connection_ends_and_new_connections_work() {
    let relay = relay::Relay::start(echo_target()).expect("the relay starts");
    let mut stream = connect(&relay);
    echo(&mut stream).expect("echoed");

    relay.close_connections();

    stream.set_read_timeout(None).expect("the timeout can be set");
    let ended = matches!(stream.read(&mut [0]), Ok(0) | Err(_));
    assert!(ended);
    assert!(echo(&mut connect(&relay)).is_ok());
}

#[test]
fn blackholed_connection_stays_silent_while_new_connections_work() {
    let relay = relay::Relay::start(echo_target()).expect("the relay starts");
    let mut stream = connect(&relay);
    echo(&mut stream).expect("echoed");

    relay.blackhole_connections();
    relay.heal();

    let error = echo_error(&mut stream);
    assert!(matches!(error.kind(), std::io::ErrorKind::WouldBlock), "{error}");
    assert!(echo(&mut connect(&relay)).is_ok());
}

#[test]
fn bytes_held_back_by_a_pause_arrive_when_healed() {
    let relay = relay::Relay::start(echo_target()).expect("the relay starts");
    let mut stream = connect(&relay);
    echo(&mut stream).expect("echoed");
    relay.pause();
    echo_error(&mut stream);

    relay.heal();

    let mut byte = [0];
    stream.set_read_timeout(None).expect("the timeout can be set");
    stream.read_exact(&mut byte).expect("the held-back byte arrives");
    assert_eq!(byte, *b"x");
}
