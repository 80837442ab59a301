//! The subset of HTTP/1.1 that drills need: messages with a known length, one at a time per connection. Buffered messages
//! are bounded.

use tokio::io::{AsyncRead, AsyncReadExt};

/// Fifty times the list for a hundred servers, the longest message of a drill.
const MAX_MESSAGE_BYTES: usize = 4 << 20;
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A message's start line and headers.
#[derive(Clone, Debug, Default)]
pub struct MessageHead(String);

impl MessageHead {
    /// A word of the start line: method and path of a request, version and status of a response.
    pub fn start_line_word(&self, index: usize) -> &str {
        self.0.lines().next().and_then(|line| line.split(' ').nth(index)).unwrap_or_default()
    }

    /// The status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start_line_word(1).parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.0.lines().skip(1).filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    /// A header with a hexadecimal number, such as a request id.
    pub fn hex_header(&self, name: &str) -> Option<u64> {
        u64::from_str_radix(self.header(name)?, 16).ok()
    }

    /// A numeric query parameter of the path.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        let query = self.start_line_word(1).split_once('?')?.1;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1.parse().ok()
    }
}

#[derive(Clone, Debug)]
pub enum FramingEvent {
    /// The first byte of a message.
    FirstByte,
    /// A complete head.
    Head(MessageHead),
    /// The last byte of a message.
    LastByte,
}

/// Finds message boundaries in a byte stream, without buffering bodies.
#[derive(Debug, Default)]
pub struct MessageFramer {
    head: Vec<u8>,
    /// Bytes of the body still to come; `None` within a head.
    body_remaining: Option<usize>,
    /// The stream can't be framed; the rest is ignored.
    invalid: bool,
}

impl MessageFramer {
    pub fn feed(&mut self, mut bytes: &[u8], mut on_event: impl FnMut(FramingEvent)) {
        while !bytes.is_empty() && !self.invalid {
            if let Some(remaining) = self.body_remaining {
                let count = remaining.min(bytes.len());
                bytes = &bytes[count..];
                self.body_remaining = Some(remaining - count).filter(|remaining| *remaining > 0);
                if self.body_remaining.is_none() {
                    on_event(FramingEvent::LastByte);
                }
                continue;
            }
            if self.head.is_empty() {
                on_event(FramingEvent::FirstByte);
            }
            let buffered = self.head.len();
            self.head.extend_from_slice(bytes);
            let searched = buffered.saturating_sub(3);
            match self.head[searched..].windows(4).position(|four| four == b"\r\n\r\n") {
                Some(position) => {
                    let end = searched + position + 4;
                    bytes = &bytes[end - buffered..];
                    let head = MessageHead(String::from_utf8_lossy(&self.head[..end]).into_owned());
                    self.head.clear();
                    let length = head.header("content-length").and_then(|length| length.parse().ok());
                    self.body_remaining = length.filter(|length| *length > 0);
                    // Chunked bodies have no known length; no party of a drill sends them.
                    self.invalid = head.header("transfer-encoding").is_some();
                    on_event(FramingEvent::Head(head));
                    if self.body_remaining.is_none() {
                        on_event(FramingEvent::LastByte);
                    }
                }
                None => {
                    bytes = &[];
                    self.invalid = self.head.len() > MAX_HEAD_BYTES;
                }
            }
        }
    }
}

/// A complete message.
#[derive(Debug, Default)]
pub struct Message {
    pub head: MessageHead,
    pub body: Vec<u8>,
}

/// How much of a message was received that did not arrive completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    NoBytes,
    Incomplete,
}

impl Message {
    pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Message, ReadError> {
        let (mut framer, mut message, mut buffer) = (MessageFramer::default(), Message::default(), [0; 4096]);
        let (mut bytes, mut begun, mut complete) = (Vec::new(), false, false);
        while !complete {
            let error = if begun { ReadError::Incomplete } else { ReadError::NoBytes };
            let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0).ok_or(error)?;
            begun = true;
            bytes.extend_from_slice(&buffer[..count]);
            framer.feed(&buffer[..count], |event| match event {
                FramingEvent::FirstByte => {}
                FramingEvent::Head(head) => message.head = head,
                FramingEvent::LastByte => complete = true,
            });
            if framer.invalid || bytes.len() > MAX_MESSAGE_BYTES {
                return Err(ReadError::Incomplete);
            }
        }
        let length: usize = message.head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = bytes.split_off(bytes.len() - length.min(bytes.len()));
        Ok(message)
    }
}

/// Encodes a response. Each line of `headers` must end with CRLF.
pub fn encode_response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Drill\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a relay that misses a message because of where its bytes were split.
    #[test]
    fn messages_are_found_wherever_the_bytes_are_split() {
        let text = b"POST /pay HTTP/1.1\r\nX-Call-Id: 2a\r\nContent-Length: 5\r\n\r\nhelloGET /read?after=7 HTTP/1.1\r\n\r\n";
        for step in 1..text.len() {
            let (mut framer, mut ids, mut lasts) = (MessageFramer::default(), Vec::new(), 0);
            for bytes in text.chunks(step) {
                framer.feed(bytes, |event| match event {
                    FramingEvent::FirstByte => {}
                    FramingEvent::Head(head) => {
                        ids.push((head.hex_header("x-call-id"), head.query_number("after")))
                    }
                    FramingEvent::LastByte => lasts += 1,
                });
            }
            assert_eq!((ids, lasts), (vec![(Some(42), None), (None, Some(7))], 2), "in steps of {step}");
        }
    }
}
