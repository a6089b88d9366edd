//! Reads HTTP/1.1 messages from kept connections.

use std::io;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

/// Limit on the head of a message, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Limit on the body of a message, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Request,
    /// The body of a response without a length ends with its connection.
    Response,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the values of all headers of that name, split at commas.
    pub fn list(&self, name: &str) -> Vec<String> {
        let values = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        let entries = values.flat_map(|(_, value)| value.split(','));
        entries.map(|it| it.trim().to_owned()).filter(|it| !it.is_empty()).collect()
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Returns the word of the first line at `index`: method, path or status.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }
}

/// Reads a message; returns `None` if the connection ends before its first byte.
pub async fn read<R: AsyncBufRead + Unpin>(
    reader: &mut R,
    kind: Kind,
) -> io::Result<Option<Message>> {
    let Some(first) = read_line(reader).await? else { return Ok(None) };
    let mut message = Message { first, ..Message::default() };
    let mut head_bytes = message.first.len();
    loop {
        let line = read_line(reader).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        head_bytes += line.len();
        if head_bytes > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    message.body = read_body(reader, &message, kind).await?;
    Ok(Some(message))
}

async fn read_body<R: AsyncBufRead + Unpin>(
    reader: &mut R,
    message: &Message,
    kind: Kind,
) -> io::Result<Vec<u8>> {
    if message.header("transfer-encoding").is_some() {
        return read_chunks(reader).await;
    }
    if let Some(length) = message.number("content-length") {
        return read_exact(reader, length).await;
    }
    let mut body = Vec::new();
    if kind == Kind::Response && message.status() != 204 {
        reader.take(MAX_BODY_BYTES as u64).read_to_end(&mut body).await?;
    }
    Ok(body)
}

async fn read_chunks<R: AsyncBufRead + Unpin>(reader: &mut R) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = u64::from_str_radix(&line, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        body.extend(read_exact(reader, size).await?);
        read_line(reader).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if size == 0 {
            return Ok(body);
        }
    }
}

async fn read_exact<R: AsyncBufRead + Unpin>(reader: &mut R, length: u64) -> io::Result<Vec<u8>> {
    let length = usize::try_from(length).ok().filter(|it| *it <= MAX_BODY_BYTES);
    let mut bytes = vec![0; length.ok_or(io::ErrorKind::InvalidData)?];
    reader.read_exact(&mut bytes).await?;
    Ok(bytes)
}

async fn read_line<R: AsyncBufRead + Unpin>(reader: &mut R) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.take(MAX_HEAD_BYTES as u64).read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    line.truncate(line.trim_end().len());
    Ok(Some(line))
}
