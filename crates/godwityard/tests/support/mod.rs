#![allow(dead_code, reason = "not every test file uses all items")]

//! Runs the tool, and fakes a host that sends one prepared answer.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output},
    thread::{self, JoinHandle},
};

/// Fake host that answers one request and records it.
pub struct FakeHost {
    pub address: SocketAddr,
    thread: JoinHandle<String>,
}

impl FakeHost {
    pub fn with_answer(status: &str, body: &str) -> Self {
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
        FakeHost::new(format!("{head}connection: close\r\n\r\n{body}"))
    }

    /// Returns a host that reads the request and closes the connection without an
    /// answer.
    pub fn without_answer() -> Self {
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

    /// Waits for the request and returns it: the head in lower case, an empty line
    /// and the body.
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

pub struct RunOutput {
    pub code: i32,
    pub out: String,
    pub err: String,
}

pub fn godwityard(args: &[&str]) -> RunOutput {
    let mut command = Command::new(env!("CARGO_BIN_EXE_godwityard"));
    for var in ["GODWITYARD_ADDRESS", "GODWITYARD_ADMIN", "GODWITYARD_TOKEN"] {
        command.env_remove(var);
    }
    let Output { status, stdout, stderr } = command.args(args).output().unwrap();
    RunOutput {
        code: status.code().unwrap(),
        out: String::from_utf8(stdout).unwrap(),
        err: String::from_utf8(stderr).unwrap(),
    }
}
