//! One call over HTTP/1.1 from a command line: a connection, a request, its answer. It owns the bounds on time and
//! bytes, and must never take an answer that was cut off for a whole one, nor send a request twice.

use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A connection is waited for so long, and so is the next byte either way.
const SILENCE: Duration = Duration::from_secs(3);
/// All of a call.
const MOST: Duration = Duration::from_secs(30);
const MOST_HEAD: usize = 32 << 10;
/// A timetable has up to 32 MB.
const MOST_BODY: usize = 40 << 20;

/// Why a call came to no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AskError {
    /// Nothing was sent.
    NoConnection(String),
    Connection(String),
    Late,
    /// The connection ended before the whole answer.
    Cut,
    TooLong,
    /// What came is no answer in HTTP/1.1 with a plain body.
    NoAnswer,
}

impl fmt::Display for AskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AskError::NoConnection(why) | AskError::Connection(why) => f.write_str(why),
            AskError::Late => write!(f, "no answer within {} s", SILENCE.as_secs()),
            AskError::Cut => f.write_str("the answer was cut off"),
            AskError::TooLong => write!(f, "the answer is longer than {MOST_BODY} bytes"),
            AskError::NoAnswer => f.write_str("what came is no answer in HTTP/1.1"),
        }
    }
}

impl std::error::Error for AskError {}

impl From<std::io::Error> for AskError {
    fn from(why: std::io::Error) -> AskError {
        match why.kind() {
            ErrorKind::TimedOut | ErrorKind::WouldBlock => AskError::Late,
            _ => AskError::Connection(why.to_string()),
        }
    }
}

/// The status and the body of the answer. `path` is sent as it is; with a body the method is POST.
pub fn ask(at: SocketAddr, path: &str, body: Option<&[u8]>) -> Result<(u16, Vec<u8>), AskError> {
    ask_with(at, path, body, None)
}

/// With one header more, its name and its value, which are sent as they are.
pub fn ask_with(
    at: SocketAddr,
    path: &str,
    body: Option<&[u8]>,
    header: Option<(&str, &str)>,
) -> Result<(u16, Vec<u8>), AskError> {
    let header = header.map_or(String::new(), |(name, value)| format!("{name}: {value}\r\n"));
    let ends = Instant::now() + MOST;
    let no_connection = |why: std::io::Error| AskError::NoConnection(why.to_string());
    let mut stream = TcpStream::connect_timeout(&at, SILENCE).map_err(no_connection)?;
    let head = match body {
        None => format!("GET {path} HTTP/1.1\r\nHost: {at}\r\n{header}Connection: close\r\n\r\n"),
        Some(body) => format!(
            "POST {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             {header}Connection: close\r\n\r\n",
            body.len()
        ),
    };
    // Whoever answers early may have stopped to read: what it says counts more than that it did.
    let sent = send(&mut stream, &[head.as_bytes(), body.unwrap_or_default()], ends);
    match read(&mut stream, ends) {
        Err(_) if sent.is_err() => Err(sent.err().unwrap_or(AskError::NoAnswer)),
        answer => answer,
    }
}

fn left(ends: Instant) -> Result<Duration, AskError> {
    let left = ends.saturating_duration_since(Instant::now()).min(SILENCE);
    if left.is_zero() { Err(AskError::Late) } else { Ok(left) }
}

fn send(stream: &mut TcpStream, parts: &[&[u8]], ends: Instant) -> Result<(), AskError> {
    for mut part in parts.iter().copied() {
        while !part.is_empty() {
            stream.set_write_timeout(Some(left(ends)?))?;
            match stream.write(part) {
                Ok(0) => return Err(AskError::Cut),
                Ok(some) => part = part.get(some..).unwrap_or_default(),
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(why) => return Err(why.into()),
            }
        }
    }
    Ok(())
}

fn read(stream: &mut TcpStream, ends: Instant) -> Result<(u16, Vec<u8>), AskError> {
    let (mut bytes, mut part) = (Vec::new(), vec![0; 64 << 10]);
    let mut head: Option<Head> = None;
    loop {
        if head.is_none() {
            head = Head::read(&bytes)?;
        }
        if let Some(Head { status, body, length: Some(length) }) = head
            && bytes.len() >= body.saturating_add(length)
        {
            bytes.truncate(body + length);
            return Ok((status, bytes.split_off(body)));
        }
        stream.set_read_timeout(Some(left(ends)?))?;
        match stream.read(&mut part) {
            Ok(0) => break,
            Ok(some) => bytes.extend_from_slice(part.get(..some).unwrap_or_default()),
            Err(why) if why.kind() == ErrorKind::Interrupted => {}
            Err(why) => return Err(why.into()),
        }
        if bytes.len() > MOST_HEAD + MOST_BODY {
            return Err(AskError::TooLong);
        }
    }
    match head {
        Some(Head { status, body, length: None }) => Ok((status, bytes.split_off(body))),
        _ => Err(AskError::Cut),
    }
}

struct Head {
    status: u16,
    /// Where the body begins, and how long it is said to be.
    body: usize,
    length: Option<usize>,
}

impl Head {
    /// None while it is not whole.
    fn read(bytes: &[u8]) -> Result<Option<Head>, AskError> {
        let start = bytes.get(..bytes.len().min(MOST_HEAD)).unwrap_or_default();
        let Some(end) = start.windows(4).position(|four| four == b"\r\n\r\n") else {
            return if bytes.len() >= MOST_HEAD { Err(AskError::NoAnswer) } else { Ok(None) };
        };
        let text = std::str::from_utf8(&start[..end]).map_err(|_| AskError::NoAnswer)?;
        let mut lines = text.split("\r\n");
        let first = lines.next().and_then(|line| line.strip_prefix("HTTP/1.")).unwrap_or_default();
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        let mut head = Head { status: status.ok_or(AskError::NoAnswer)?, body: end + 4, length: None };
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            if name.eq_ignore_ascii_case("transfer-encoding") {
                return Err(AskError::NoAnswer);
            }
            if name.eq_ignore_ascii_case("content-length") {
                let length = value.trim().parse::<usize>().map_err(|_| AskError::NoAnswer)?;
                if length > MOST_BODY || head.length.is_some_and(|other| other != length) {
                    return Err(AskError::TooLong);
                }
                head.length = Some(length);
            }
        }
        Ok(Some(head))
    }
}

/// What others hold out to a call in tests: one answer, as it is, to whoever comes.
#[cfg(test)]
pub fn stand_in(answers: Vec<Vec<u8>>) -> SocketAddr {
    stand_in_that_tells(answers).0
}

/// As above, with the heads of what it was asked.
#[cfg(test)]
pub fn stand_in_that_tells(answers: Vec<Vec<u8>>) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let (tell, told) = std::sync::mpsc::channel();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for answer in answers {
            let Ok((mut stream, _)) = listener.accept() else { return };
            let mut seen = Vec::new();
            let mut part = [0; 4096];
            // The whole request: a close with bytes unread would reset the connection under its answer.
            let whole = |seen: &[u8]| {
                let head = seen.windows(4).position(|four| four == b"\r\n\r\n").map(|end| end + 4)?;
                let text = String::from_utf8_lossy(&seen[..head]).to_lowercase();
                let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
                let length = length.and_then(|length| length.trim().parse::<usize>().ok()).unwrap_or(0);
                (seen.len() >= head + length).then_some(())
            };
            while whole(&seen).is_none() {
                match stream.read(&mut part) {
                    Ok(some) if some > 0 => seen.extend_from_slice(&part[..some]),
                    _ => break,
                }
            }
            let _ = tell.send(String::from_utf8_lossy(&seen).into_owned());
            let _ = stream.write_all(&answer).and_then(|()| stream.shutdown(std::net::Shutdown::Write));
            // Guards against a reset in place of an end, where some of the request is left unread.
            let _ = std::io::copy(&mut stream, &mut std::io::sink());
        }
    });
    (at, told)
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;

    #[test]
    fn answers_are_taken_whole_or_not_at_all() {
        let answers = [
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}more",
            "HTTP/1.1 503 Busy\r\n\r\nbusy\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n{}",
            "HTTP/1.1 200 OK\r\ncontent-le",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n",
            "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\n",
            "SSH-2.0\r\n\r\n",
            "",
        ];
        let at = stand_in(answers.iter().map(|answer| answer.as_bytes().to_vec()).collect());
        let said = |answer: Result<(u16, Vec<u8>), AskError>| match answer {
            Ok((status, body)) => format!("{status} {:?}\n", String::from_utf8_lossy(&body)),
            Err(why) => format!("{why}\n"),
        };
        let all: String = answers.iter().map(|_| said(ask(at, "/", Some(b"{}")))).collect();
        expect![[r#"
            200 "{}"
            200 "{}"
            503 "busy\n"
            the answer was cut off
            the answer was cut off
            what came is no answer in HTTP/1.1
            the answer is longer than 41943040 bytes
            what came is no answer in HTTP/1.1
            what came is no answer in HTTP/1.1
            the answer was cut off
        "#]]
        .assert_eq(&all);
    }
}
