//! Minimal HTTP/1.1 server side. HTTP libraries do not allow a server to close or
//! stall a connection, or to truncate a response, at an arbitrary byte. The
//! stand-ins need this to inject faults.

use std::io;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Longest request line or header line, in bytes.
const MAX_LINE_BYTES: u64 = 16 * 1024;
const MAX_HEADERS: usize = 64;
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of the first header with that name; `name` is in lower
    /// case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Response { status, headers: Vec::new(), body: body.into() }
    }

    /// Returns the complete response as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = format!("HTTP/1.1 {} -\r\n", self.status);
        for (name, value) in &self.headers {
            buf.push_str(&format!("{name}: {value}\r\n"));
        }
        if self.status != 204 {
            buf.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        buf.push_str("\r\n");
        let mut buf = buf.into_bytes();
        buf.extend_from_slice(&self.body);
        buf
    }
}

/// Reads one request. Returns none if the client closed the connection between
/// requests.
pub async fn read_request<R>(r: &mut R) -> io::Result<Option<Request>>
where
    R: AsyncBufRead + Unpin,
{
    let Some(line) = read_line(r).await? else { return Ok(None) };
    let mut parts = line.split(' ');
    let (Some(method), Some(path)) = (parts.next(), parts.next()) else {
        return Err(malformed_request());
    };
    let mut req =
        Request { method: method.to_owned(), path: path.to_owned(), ..Request::default() };
    read_headers(r, &mut req).await?;
    let len: usize =
        req.header("content-length").unwrap_or("0").parse().map_err(|_| malformed_request())?;
    if len > MAX_BODY_BYTES || req.header("transfer-encoding").is_some() {
        return Err(malformed_request());
    }
    req.body = vec![0; len];
    r.read_exact(&mut req.body).await?;
    Ok(Some(req))
}

pub async fn write_all<W>(w: &mut W, buf: &[u8]) -> io::Result<()>
where
    W: AsyncWrite + Unpin,
{
    w.write_all(buf).await?;
    w.flush().await
}

async fn read_headers<R>(r: &mut R, req: &mut Request) -> io::Result<()>
where
    R: AsyncBufRead + Unpin,
{
    loop {
        let line = read_line(r).await?.ok_or_else(malformed_request)?;
        if line.is_empty() {
            return Ok(());
        }
        if req.headers.len() == MAX_HEADERS {
            return Err(malformed_request());
        }
        let (name, value) = line.split_once(':').ok_or_else(malformed_request)?;
        req.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

async fn read_line<R>(r: &mut R) -> io::Result<Option<String>>
where
    R: AsyncBufRead + Unpin,
{
    let mut buf = Vec::new();
    let read = r.take(MAX_LINE_BYTES).read_until(b'\n', &mut buf).await?;
    if read == 0 {
        return Ok(None);
    }
    let text = String::from_utf8(buf).map_err(|_| malformed_request())?;
    let Some(line) = text.strip_suffix('\n') else { return Err(malformed_request()) };
    Ok(Some(line.trim_end_matches('\r').to_owned()))
}

fn malformed_request() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "malformed HTTP request")
}
