//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Head and body of a message.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// Words of the first line.
    pub start: Vec<String>,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        let target = self.start.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or("")
    }

    /// Value of a field of the query, with percent encoding left as it is.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.start.get(1)?.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// Reads the first line and the header fields.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let start = line(reader)?.splitn(3, ' ').map(str::to_owned).collect();
    let mut message = Message { start, ..Message::default() };
    loop {
        let line = line(reader)?;
        match line.split_once(':') {
            Some((name, value)) => {
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
            None if line.is_empty() => return Ok(message),
            None => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Reads one chunk; an empty one is the last.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let size = line(reader)?;
    let size = usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    line(reader)?;
    Ok(data)
}

/// Reads a whole message with a length or chunks.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    if message.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(message);
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<()> {
    answer(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
}

/// What a client received.
#[derive(Debug, Clone)]
pub struct Received {
    /// Status; 0 if no answer came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether the answer is complete.
    pub whole: bool,
    pub took: Duration,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    /// Ids of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        let lines = self.body.lines().filter_map(|l| l.strip_prefix("id: "));
        lines.filter_map(|id| id.trim().parse().ok()).collect()
    }
}

/// Sends a request over a new connection and reads the answer, for at most `limit`. The connection is closed after a
/// time `gap` without a byte.
pub fn request(
    to: SocketAddr,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    (gap, limit): (Duration, Duration),
) -> Received {
    let began = Instant::now();
    let mut got =
        Received { status: 0, headers: vec![], body: String::new(), whole: false, took: limit };
    if let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(gap));
        let _ = exchange(stream, start, headers, body, began + limit, &mut got);
    }
    got.took = began.elapsed();
    got
}

fn exchange(
    mut stream: TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    until: Instant,
    got: &mut Received,
) -> io::Result<()> {
    let mut text = format!("{start} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    (got.status, got.headers) = (head.status(), head.headers.clone());
    if head.header("transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(&mut reader)?;
            if chunk.is_empty() {
                got.whole = true;
                return Ok(());
            }
            got.body.push_str(&String::from_utf8_lossy(&chunk));
            if Instant::now() > until {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }
    let length = head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut data = vec![0; length];
    reader.read_exact(&mut data)?;
    got.body = String::from_utf8_lossy(&data).into_owned();
    got.whole = true;
    Ok(())
}

/// Value of a text field of a flat JSON object.
pub fn text_field(json: &str, name: &str) -> Option<String> {
    let at = json.find(&format!("\"{name}\""))? + name.len() + 2;
    let rest = json[at..].trim_start().strip_prefix(':')?.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

/// Value of a whole number of a flat JSON object.
pub fn number_field(json: &str, name: &str) -> Option<u64> {
    let at = json.find(&format!("\"{name}\""))? + name.len() + 2;
    let rest = json[at..].trim_start().strip_prefix(':')?.trim_start();
    let end = rest.find(|c: char| !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

pub fn base64(data: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in data.chunks(3) {
        let bits =
            part.iter().fold(0u32, |bits, b| bits << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for at in 0..4 {
            match at <= part.len() {
                true => text.push(SIGNS[(bits >> (18 - 6 * at) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
