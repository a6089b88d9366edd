//! Reads and writes HTTP/1.1 messages.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The word of the first line at `index`: method, path or status.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Kind {
    Request,
    Response,
}

/// Reads a message; `None` if the stream ends before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>, kind: Kind) -> io::Result<Option<Message>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { first, headers, body: Vec::new() };
    let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
    let is_chunked = message.header("transfer-encoding").is_some();
    if is_chunked {
        message.body = read_chunks(reader)?;
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if kind == Kind::Response {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(&line, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}
