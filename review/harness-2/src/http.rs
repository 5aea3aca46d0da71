//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Head of a message.
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    /// Bytes after the head that have arrived.
    pub rest: Vec<u8>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Status of a response; 0 if it can't be read.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// A response.
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a head; `None` if the peer closes the channel first.
pub fn read_head(stream: &mut TcpStream, mut bytes: Vec<u8>) -> io::Result<Option<Head>> {
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.split("\r\n");
            let first_line = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
            let headers = headers.collect();
            return Ok(Some(Head { first_line, headers, rest: bytes[end + 4..].to_vec() }));
        }
        match stream.read(&mut buffer)? {
            0 => return Ok(None),
            read => bytes.extend_from_slice(&buffer[..read]),
        }
    }
}

/// Reads a body of a stated length; fails if it is cut off.
pub fn read_body(stream: &mut TcpStream, head: &mut Head) -> io::Result<Vec<u8>> {
    let mut body = std::mem::take(&mut head.rest);
    let mut buffer = [0; 4096];
    while body.len() < head.length() {
        match stream.read(&mut buffer)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => body.extend_from_slice(&buffer[..read]),
        }
    }
    head.rest = body.split_off(head.length());
    Ok(body)
}

/// Makes a call on a new channel; `None` without a complete answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut head = read_head(&mut stream, Vec::new()).ok()??;
    let body = read_body(&mut stream, &mut head).ok()?;
    Some(Reply { status: head.status(), headers: head.headers, body })
}

/// Makes a call and follows a 307 twice, as callers of the control address do.
pub fn call_control(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<Reply> {
    let mut reply = call(to, method, path, body, timeout)?;
    for _ in 0..2 {
        if reply.status == 307 {
            let to = reply.header("location").and_then(address_of)?;
            reply = call(to, method, path, body, timeout)?;
        }
    }
    Some(reply)
}

/// Address of a URL.
pub fn address_of(url: &str) -> Option<SocketAddr> {
    url.strip_prefix("http://")?.split('/').next()?.parse().ok()
}
