//! HTTP/1.1 for the stand-ins: a client with one connection a call, and reading of requests.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| &**value)
}

/// Makes one call on a connection of its own. After `limit` without an answer the connection is
/// closed, and there is none.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Option<Reply> {
    let end = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&to, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if find_name(headers, "host").is_none() {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if method != "GET" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let remaining = || end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(remaining())).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = Vec::new();
    read_body(&mut reader, &headers, &mut body, true).then_some(Reply { status, body })
}

fn find_name<'a>(headers: &[(&'a str, &'a str)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| *value)
}

/// First line and headers of a message.
pub fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body with a length or in chunks, or up to the end of the connection if `to_end`.
pub fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    body: &mut Vec<u8>,
    to_end: bool,
) -> bool {
    if let Some(length) = find(headers, "content-length") {
        let Ok(length) = length.parse() else { return false };
        body.resize(length, 0);
        return reader.read_exact(body).is_ok();
    }
    let chunked = find(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if !chunked {
        return !to_end || reader.read_to_end(body).is_ok();
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16) else {
            return false;
        };
        let start = body.len();
        body.resize(start + size, 0);
        let mut end = [0; 2];
        if reader.read_exact(&mut body[start..]).is_err() || reader.read_exact(&mut end).is_err() {
            return false;
        }
        if size == 0 {
            return true;
        }
    }
}
