//! HTTP/1.1 as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as a server has read it.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let mut named = headers
        .iter()
        .filter(|(other, _)| other.eq_ignore_ascii_case(name));
    named.next().map_or("", |(_, value)| value)
}

/// A connection with bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn split_head(head: &str) -> (String, Vec<(String, String)>) {
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers = fields.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    (first, headers.collect())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    fn take_until(&mut self, end: &[u8]) -> io::Result<Option<Vec<u8>>> {
        loop {
            let position = self
                .buffer
                .windows(end.len())
                .position(|window| window == end);
            if let Some(position) = position {
                let rest = self.buffer.split_off(position + end.len());
                let mut taken = std::mem::replace(&mut self.buffer, rest);
                taken.truncate(position);
                return Ok(Some(taken));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn take_exactly(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        let rest = self.buffer.split_off(length);
        Ok(Some(std::mem::replace(&mut self.buffer, rest)))
    }

    fn take_chunks(&mut self, mut on_data: impl FnMut(&[u8])) -> io::Result<bool> {
        loop {
            let Some(size) = self.take_until(b"\r\n")? else {
                return Ok(false);
            };
            let size = String::from_utf8_lossy(&size).into_owned();
            let size = size.split(';').next().unwrap_or_default().trim().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return Ok(false);
            };
            let Some(data) = self.take_exactly(size + 2)? else {
                return Ok(false);
            };
            if size == 0 {
                return Ok(true);
            }
            on_data(&data[..size]);
        }
    }

    /// Reads a request; `None` when the connection has ended.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(head) = self.take_until(b"\r\n\r\n")? else {
            return Ok(None);
        };
        let (first, headers) = split_head(&String::from_utf8_lossy(&head));
        let mut words = first.split(' ');
        let (method, path) = (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        );
        let mut body = Vec::new();
        if find(&headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
            if !self.take_chunks(|data| body.extend_from_slice(data))? {
                return Ok(None);
            }
        } else if let Ok(length) = find(&headers, "content-length").parse() {
            match self.take_exactly(length)? {
                Some(bytes) => body = bytes,
                None => return Ok(None),
            }
        }
        Ok(Some(Request {
            method: method.to_owned(),
            path: path.to_owned(),
            headers,
            body,
        }))
    }
}

/// A response as a client has read it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// 0 if there was none.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name)
    }
}

/// Sends one request on a connection of its own and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Response {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Response::default();
    };
    let mut connection = Connection::new(stream);
    call_on(&mut connection, method, path, headers, body, timeout)
}

/// Like [`call`], on a connection that stays open.
pub fn call_on(
    connection: &mut Connection,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Response {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    if connection.stream.write_all(&message).is_err() {
        return Response::default();
    }
    let _ = connection.stream.set_read_timeout(Some(timeout));
    read_response(connection)
}

fn read_response(connection: &mut Connection) -> Response {
    let mut response = Response::default();
    let Ok(Some(head)) = connection.take_until(b"\r\n\r\n") else {
        return response;
    };
    let (first, headers) = split_head(&String::from_utf8_lossy(&head));
    response.status = first
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    response.headers = headers;
    if response
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        let mut body = Vec::new();
        let ended = connection.take_chunks(|data| body.extend_from_slice(data));
        response.is_whole = ended.unwrap_or(false);
        response.body = body;
    } else if let Ok(length) = response.header("content-length").parse::<usize>() {
        match connection.take_exactly(length) {
            Ok(Some(body)) => {
                response.body = body;
                response.is_whole = true;
            }
            _ => response.body = std::mem::take(&mut connection.buffer),
        }
    } else {
        loop {
            match connection.fill() {
                Ok(true) => {}
                Ok(false) => {
                    response.is_whole = true;
                    break;
                }
                Err(_) => break,
            }
        }
        response.body = std::mem::take(&mut connection.buffer);
    }
    response
}

/// Serves each connection in a thread of its own until the process ends.
pub fn serve<Handler>(listener: TcpListener, handler: Handler)
where
    Handler: Fn(Connection) -> io::Result<()> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = handler(Connection::new(stream));
            });
        }
    });
}

/// Writes a response with a length.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    stream.write_all(&response_bytes(status, headers, body))
}

pub fn response_bytes(status: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
