#![allow(dead_code, reason = "each test file uses a part of it")]

//! Runs the tool, against a host that gives one prepared answer.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output},
    thread::{self, JoinHandle},
};

/// A host that answers one request and keeps what it was sent.
pub struct FakeHost {
    pub address: SocketAddr,
    thread: JoinHandle<String>,
}

impl FakeHost {
    pub fn answering(status: &str, body: &str) -> Self {
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
        FakeHost::new(format!("{head}connection: close\r\n\r\n{body}"))
    }

    /// Takes the request and closes the connection.
    pub fn silent() -> Self {
        FakeHost::new(String::new())
    }

    fn new(answer: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let thread = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let request = read_request(&stream);
            stream.write_all(answer.as_bytes()).unwrap();
            request
        });
        FakeHost { address, thread }
    }

    /// The request: its head in lower case, an empty line and its body.
    pub fn request(self) -> String {
        self.thread.join().unwrap()
    }
}

fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert_ne!(reader.read_line(&mut head).unwrap(), 0);
    }
    let head = head.to_lowercase();
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |it| it.parse().unwrap())];
    reader.read_exact(&mut body).unwrap();
    format!("{head}{}", String::from_utf8(body).unwrap())
}

pub struct Ran {
    pub code: i32,
    pub out: String,
    pub err: String,
}

pub fn godwityard(args: &[&str]) -> Ran {
    let mut command = Command::new(env!("CARGO_BIN_EXE_godwityard"));
    for var in ["GODWITYARD_ADDRESS", "GODWITYARD_ADMIN", "GODWITYARD_TOKEN"] {
        command.env_remove(var);
    }
    let Output { status, stdout, stderr } = command.args(args).output().unwrap();
    Ran {
        code: status.code().unwrap(),
        out: String::from_utf8(stdout).unwrap(),
        err: String::from_utf8(stderr).unwrap(),
    }
}
