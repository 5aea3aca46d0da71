//! A small HTTP/1.1 client, with blocking sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A response with its whole body.
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Response {
    /// Value of a header; `name` in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request on a new connection and reads the whole response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    write_request(&stream, to, method, path, headers, body)?;
    read_response(&mut BufReader::new(stream))
}

/// Writes a request.
pub fn write_request(
    mut stream: &TcpStream,
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    text += body;
    stream.write_all(text.as_bytes())
}

/// Reads the head of a message, up to its empty line; an empty text at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<String> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if head.is_empty() {
                Ok(head)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        if line == "\r\n" {
            return Ok(head);
        }
        head += &line;
    }
}

/// Reads a whole response.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Response> {
    let head = read_head(reader)?;
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).ok_or_else(invalid)?;
    let mut response = Response { status, head, body: Vec::new() };
    if let Some(length) = response.header("content-length").and_then(|it| it.parse().ok()) {
        response.body = vec![0; length];
        reader.read_exact(&mut response.body)?;
    } else if response.header("transfer-encoding") == Some("chunked") {
        while let Some(chunk) = read_chunk(reader)? {
            response.body.extend(chunk);
        }
    }
    Ok(response)
}

/// Reads a chunk; `None` for the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid())?;
    let mut bytes = vec![0; length + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(length);
    Ok((length > 0).then_some(bytes))
}
