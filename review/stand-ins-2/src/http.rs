//! A small HTTP/1.1 client and the parsing that the stand-ins share.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Head of a message: its first line and its headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// A message whose body has been read to its end.
#[derive(Clone, Debug)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Reads more bytes until `deadline`; `false` at the end of the connection.
    fn fill(&mut self, deadline: Option<Instant>) -> io::Result<bool> {
        let left = match deadline {
            None => None,
            Some(deadline) => {
                let left = deadline.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(io::ErrorKind::TimedOut.into());
                }
                Some(left)
            }
        };
        self.stream.set_read_timeout(left)?;
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self, deadline: Option<Instant>) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(Some(parse_head(&String::from_utf8_lossy(&bytes))));
            }
            if !self.fill(deadline)? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    fn read_exact(&mut self, length: usize, deadline: Option<Instant>) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill(deadline)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_line(&mut self, deadline: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let bytes: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&bytes[..end]).into_owned());
            }
            if !self.fill(deadline)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body behind a head: by its length, in chunks, or for a response to its end.
    pub fn read_body(
        &mut self,
        head: &Head,
        is_response: bool,
        deadline: Option<Instant>,
    ) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let line = self.read_line(deadline)?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(io::Error::other)?;
                body.extend(self.read_exact(size, deadline)?);
                self.read_line(deadline)?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        if let Some(length) = head.get("content-length") {
            let length = length.parse().map_err(io::Error::other)?;
            return self.read_exact(length, deadline);
        }
        if is_response {
            while self.fill(deadline)? {}
            return Ok(std::mem::take(&mut self.buffer));
        }
        Ok(Vec::new())
    }

    pub fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request)
    }

    /// Sends a request and reads the whole response.
    pub fn call(&mut self, request: &[u8], deadline: Instant) -> io::Result<Message> {
        let left = deadline.saturating_duration_since(Instant::now());
        self.stream
            .set_write_timeout(Some(left.max(Duration::from_millis(1))))?;
        self.send(request)?;
        let head = self.read_head(Some(deadline))?;
        let head = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let body = self.read_body(&head, true, Some(deadline))?;
        Ok(Message { head, body })
    }
}

/// Sends a request on a connection of its own.
pub fn call_once(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let deadline = Instant::now() + timeout;
    Connection::connect(address, timeout)?.call(request, deadline)
}

pub fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n").filter(|line| !line.is_empty());
    let first_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Head {
        first_line,
        headers,
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..part.len()].copy_from_slice(part);
        let word = u32::from(word[0]) << 16 | u32::from(word[1]) << 8 | u32::from(word[2]);
        for position in 0..4 {
            match position <= part.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * position) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
