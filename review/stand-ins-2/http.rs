//! HTTP/1.1 of the stand-ins, as far as they need it.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Start of a message.
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; none at the end of the connection.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if stream.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        match line.split_once(':') {
            None if line.is_empty() => break,
            None => return Err(io::ErrorKind::InvalidData.into()),
            Some((name, value)) => fields.push((name.to_owned(), value.trim().to_owned())),
        }
    }
    Ok(Some(Head { first: first.trim_end().to_owned(), fields }))
}

/// Reads a body with a length or in chunks; `chunk` gets each part.
pub fn read_body(
    stream: &mut impl BufRead,
    head: &Head,
    mut chunk: impl FnMut(&[u8]),
) -> io::Result<()> {
    let chunked = head.field("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if !chunked {
        let mut left = head.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut buffer = [0; 64 * 1024];
        while left > 0 {
            let most = buffer.len().min(left);
            let read = stream.read(&mut buffer[..most])?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            chunk(&buffer[..read]);
            left -= read;
        }
        return Ok(());
    }
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = line.trim_end().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut data = vec![0; size];
        stream.read_exact(&mut data)?;
        let mut end = String::new();
        stream.read_line(&mut end)?;
        if size == 0 {
            return Ok(());
        }
        chunk(&data);
    }
}

/// One call on a new connection: status and body of the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body.as_bytes()).ok()?;
    let mut stream = BufReader::new(stream);
    let head = read_head(&mut stream).ok()??;
    let mut text = Vec::new();
    read_body(&mut stream, &head, |part| text.extend_from_slice(part)).ok()?;
    Some((head.status(), String::from_utf8_lossy(&text).into_owned()))
}

/// How a caller's request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Ended {
    /// A complete answer with this status.
    Answer(u16),
    /// The channel was closed in the middle of an answer.
    CutAnswer(u16),
    /// The channel was closed without an answer after the whole request was sent.
    Closed(String),
    /// The request could not be sent.
    Unsent(String),
    /// The caller left, as its time was over.
    Left,
}

/// A caller's channel.
pub struct Channel {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

impl Channel {
    pub fn new(address: SocketAddr) -> Channel {
        Channel { address, stream: None }
    }

    /// Sends a request on the kept channel, or on a new one, and reads its answer; `data` gets the body.
    pub fn request(
        &mut self,
        head: &str,
        body: &[u8],
        limit: Duration,
        mut data: impl FnMut(&[u8]),
    ) -> Ended {
        let until = Instant::now() + limit;
        let mut stream = match self.stream.take() {
            Some(kept) => kept,
            None => match TcpStream::connect_timeout(&self.address, Duration::from_secs(1)) {
                Ok(stream) => BufReader::new(stream),
                Err(error) => return Ended::Unsent(error.to_string()),
            },
        };
        let _ = stream.get_ref().set_nodelay(true);
        let _ = stream.get_ref().set_read_timeout(Some(limit));
        let sent = stream
            .get_mut()
            .write_all(head.as_bytes())
            .and_then(|()| stream.get_mut().write_all(body));
        if let Err(error) = sent {
            return Ended::Unsent(error.to_string());
        }
        let late = |error: &io::Error| {
            matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
                || Instant::now() >= until
        };
        let answer = match read_head(&mut stream) {
            Ok(Some(answer)) => answer,
            Ok(None) => return Ended::Closed("end of the channel".to_owned()),
            Err(error) if late(&error) => return Ended::Left,
            Err(error) => return Ended::Closed(error.to_string()),
        };
        match read_body(&mut stream, &answer, &mut data) {
            Ok(()) => {}
            Err(error) if late(&error) => return Ended::Left,
            Err(_) => return Ended::CutAnswer(answer.status()),
        }
        if answer.field("connection").is_none_or(|value| !value.contains("close")) {
            self.stream = Some(stream);
        }
        Ended::Answer(answer.status())
    }
}
