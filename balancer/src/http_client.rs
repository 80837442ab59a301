//! A blocking HTTP/1.1 client for the command line: one request on one connection.
//!
//! Time and bytes are bounded. A truncated response is an error, and a request is never sent twice.

use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The time limit for connecting, and for each read or write.
const IO_TIMEOUT: Duration = Duration::from_secs(3);
/// The time limit for the whole request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_HEAD_BYTES: usize = 32 << 10;
/// A timetable has up to 32 MB.
const MAX_BODY_BYTES: usize = 40 << 20;

/// Why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpClientError {
    /// Nothing was sent.
    ConnectFailed(String),
    ConnectionFailed(String),
    TimedOut,
    /// The connection ended before the whole response had arrived.
    Truncated,
    TooLarge,
    /// The response is not HTTP/1.1 with a body of plain bytes.
    InvalidResponse,
}

impl fmt::Display for HttpClientError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HttpClientError::ConnectFailed(error) | HttpClientError::ConnectionFailed(error) => {
                f.write_str(error)
            }
            HttpClientError::TimedOut => write!(f, "no response within {} s", IO_TIMEOUT.as_secs()),
            HttpClientError::Truncated => f.write_str("the response is truncated"),
            HttpClientError::TooLarge => write!(f, "the response is larger than {MAX_BODY_BYTES} bytes"),
            HttpClientError::InvalidResponse => f.write_str("the response is not valid HTTP/1.1"),
        }
    }
}

impl std::error::Error for HttpClientError {}

impl From<std::io::Error> for HttpClientError {
    fn from(error: std::io::Error) -> HttpClientError {
        match error.kind() {
            ErrorKind::TimedOut | ErrorKind::WouldBlock => HttpClientError::TimedOut,
            _ => HttpClientError::ConnectionFailed(error.to_string()),
        }
    }
}

/// Returns the status and the body of the response. `path` is sent as given; with a body the method is POST.
pub fn request(at: SocketAddr, path: &str, body: Option<&[u8]>) -> Result<(u16, Vec<u8>), HttpClientError> {
    request_with_header(at, path, body, None)
}

/// Like [`request`], with an additional header whose name and value are sent as given.
pub fn request_with_header(
    at: SocketAddr,
    path: &str,
    body: Option<&[u8]>,
    header: Option<(&str, &str)>,
) -> Result<(u16, Vec<u8>), HttpClientError> {
    let header = header.map_or(String::new(), |(name, value)| format!("{name}: {value}\r\n"));
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    let connect_failed = |error: std::io::Error| HttpClientError::ConnectFailed(error.to_string());
    let mut stream = TcpStream::connect_timeout(&at, IO_TIMEOUT).map_err(connect_failed)?;
    let head = match body {
        None => format!("GET {path} HTTP/1.1\r\nHost: {at}\r\n{header}Connection: close\r\n\r\n"),
        Some(body) => format!(
            "POST {path} HTTP/1.1\r\nHost: {at}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             {header}Connection: close\r\n\r\n",
            body.len()
        ),
    };
    // A server that responds early may have stopped reading; its response matters more than the failed write.
    let sent = write_request(&mut stream, &[head.as_bytes(), body.unwrap_or_default()], deadline);
    match read_response(&mut stream, deadline) {
        Err(_) if sent.is_err() => Err(sent.err().unwrap_or(HttpClientError::InvalidResponse)),
        response => response,
    }
}

fn remaining(deadline: Instant) -> Result<Duration, HttpClientError> {
    let remaining = deadline.saturating_duration_since(Instant::now()).min(IO_TIMEOUT);
    if remaining.is_zero() { Err(HttpClientError::TimedOut) } else { Ok(remaining) }
}

fn write_request(stream: &mut TcpStream, parts: &[&[u8]], deadline: Instant) -> Result<(), HttpClientError> {
    for mut part in parts.iter().copied() {
        while !part.is_empty() {
            stream.set_write_timeout(Some(remaining(deadline)?))?;
            match stream.write(part) {
                Ok(0) => return Err(HttpClientError::Truncated),
                Ok(written) => part = part.get(written..).unwrap_or_default(),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
    }
    Ok(())
}

fn read_response(stream: &mut TcpStream, deadline: Instant) -> Result<(u16, Vec<u8>), HttpClientError> {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; 64 << 10]);
    let mut head: Option<Head> = None;
    loop {
        if head.is_none() {
            head = Head::parse(&bytes)?;
        }
        if let Some(Head { status, body_start, body_length: Some(length) }) = head
            && bytes.len() >= body_start.saturating_add(length)
        {
            bytes.truncate(body_start + length);
            return Ok((status, bytes.split_off(body_start)));
        }
        stream.set_read_timeout(Some(remaining(deadline)?))?;
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(buffer.get(..count).unwrap_or_default()),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
        if bytes.len() > MAX_HEAD_BYTES + MAX_BODY_BYTES {
            return Err(HttpClientError::TooLarge);
        }
    }
    match head {
        Some(Head { status, body_start, body_length: None }) => Ok((status, bytes.split_off(body_start))),
        _ => Err(HttpClientError::Truncated),
    }
}

struct Head {
    status: u16,
    /// Where the body begins, and its declared length.
    body_start: usize,
    body_length: Option<usize>,
}

impl Head {
    /// Returns None until the head is complete.
    fn parse(bytes: &[u8]) -> Result<Option<Head>, HttpClientError> {
        let start = bytes.get(..bytes.len().min(MAX_HEAD_BYTES)).unwrap_or_default();
        let Some(end) = start.windows(4).position(|four| four == b"\r\n\r\n") else {
            return if bytes.len() >= MAX_HEAD_BYTES {
                Err(HttpClientError::InvalidResponse)
            } else {
                Ok(None)
            };
        };
        let text = std::str::from_utf8(&start[..end]).map_err(|_| HttpClientError::InvalidResponse)?;
        let mut lines = text.split("\r\n");
        let first = lines.next().and_then(|line| line.strip_prefix("HTTP/1.")).unwrap_or_default();
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        let mut head = Head {
            status: status.ok_or(HttpClientError::InvalidResponse)?,
            body_start: end + 4,
            body_length: None,
        };
        for (name, value) in lines.filter_map(|line| line.split_once(':')) {
            if name.eq_ignore_ascii_case("transfer-encoding") {
                return Err(HttpClientError::InvalidResponse);
            }
            if name.eq_ignore_ascii_case("content-length") {
                let length = value.trim().parse::<usize>().map_err(|_| HttpClientError::InvalidResponse)?;
                if length > MAX_BODY_BYTES || head.body_length.is_some_and(|other| other != length) {
                    return Err(HttpClientError::TooLarge);
                }
                head.body_length = Some(length);
            }
        }
        Ok(Some(head))
    }
}

/// Serves each of the responses once, as given, to successive connections.
#[cfg(test)]
pub fn serve_responses(responses: Vec<Vec<u8>>) -> SocketAddr {
    serve_recorded_responses(responses).0
}

/// Like [`serve_responses`]; also returns the requests that were received.
#[cfg(test)]
pub fn serve_recorded_responses(responses: Vec<Vec<u8>>) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let (sender, requests) = std::sync::mpsc::channel();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a socket");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for response in responses {
            let Ok((mut stream, _)) = listener.accept() else { return };
            let mut received = Vec::new();
            let mut buffer = [0; 4096];
            // Reads the whole request: closing with unread bytes would reset the connection before the
            // response is read.
            let is_complete = |received: &[u8]| {
                let head = received.windows(4).position(|four| four == b"\r\n\r\n").map(|end| end + 4)?;
                let text = String::from_utf8_lossy(&received[..head]).to_lowercase();
                let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
                let length = length.and_then(|length| length.trim().parse::<usize>().ok()).unwrap_or(0);
                (received.len() >= head + length).then_some(())
            };
            while is_complete(&received).is_none() {
                match stream.read(&mut buffer) {
                    Ok(count) if count > 0 => received.extend_from_slice(&buffer[..count]),
                    _ => break,
                }
            }
            let _ = sender.send(String::from_utf8_lossy(&received).into_owned());
            let _ = stream.write_all(&response).and_then(|()| stream.shutdown(std::net::Shutdown::Write));
            // Reads what is left of the request, so that the connection ends without a reset.
            let _ = std::io::copy(&mut stream, &mut std::io::sink());
        }
    });
    (at, requests)
}

#[cfg(test)]
mod tests {
    use super::*;
    use expect_test::expect;

    #[test]
    fn truncated_and_invalid_responses_are_errors() {
        let responses = [
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
        let at = serve_responses(responses.iter().map(|response| response.as_bytes().to_vec()).collect());
        let text = |response: Result<(u16, Vec<u8>), HttpClientError>| match response {
            Ok((status, body)) => format!("{status} {:?}\n", String::from_utf8_lossy(&body)),
            Err(error) => format!("{error}\n"),
        };
        let all: String = responses.iter().map(|_| text(request(at, "/", Some(b"{}")))).collect();
        expect![[r#"
            200 "{}"
            200 "{}"
            503 "busy\n"
            the response is truncated
            the response is truncated
            the response is not valid HTTP/1.1
            the response is larger than 41943040 bytes
            the response is not valid HTTP/1.1
            the response is not valid HTTP/1.1
            the response is truncated
        "#]]
        .assert_eq(&all);
    }
}
