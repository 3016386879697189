//! A fake entry that sends scripted replies and records the requests.

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    thread::{
        self,
        JoinHandle, //
    },
};

/// The reaction of the fake entry to one request.
pub(crate) enum FakeReply {
    /// Sends a reply with this status and body.
    Sent(u16, &'static str),
    /// Reads the request and closes the connection without a reply.
    Lost,
}

/// A fake entry, which serves one request after the other on its own thread.
pub(crate) struct FakeEntry {
    pub(crate) address: String,
    serving: JoinHandle<Vec<String>>,
}

impl FakeEntry {
    /// Starts an entry that sends these replies in order and then stops.
    pub(crate) fn start(replies: Vec<FakeReply>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let serving = thread::spawn(move || {
            let requests = replies.into_iter().map(|reply| {
                let (stream, _) = listener.accept().expect("a connection");
                serve(stream, &reply)
            });
            requests.collect()
        });
        Self { address, serving }
    }

    /// Waits until all replies were sent and returns the requests.
    pub(crate) fn requests(self) -> Vec<String> {
        self.serving.join().expect("the fake entry does not panic")
    }
}

/// Reads one request, replies to it and returns its text.
fn serve(stream: TcpStream, reply: &FakeReply) -> String {
    let mut reader = BufReader::new(&stream);
    let mut text = String::new();
    let mut length = 0;
    loop {
        let start = text.len();
        reader.read_line(&mut text).expect("a header");
        let line = text[start..].trim().to_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length");
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("a whole body");
    text.push_str(&String::from_utf8(body).expect("a text"));
    if let FakeReply::Sent(status, body) = reply {
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} Answer\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
        );
        let response = head + body;
        (&stream)
            .write_all(response.as_bytes())
            .expect("the reply is sent");
    }
    text
}
