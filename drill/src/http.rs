//! As much of HTTP/1.1 as stand-ins need: whole messages with a length, one at a time on a connection. It owns where a
//! message begins and ends, and must never hold more of one than its bound.

use tokio::io::{AsyncRead, AsyncReadExt};

/// No message of a drill's is longer; a list for a hundred srvs is a fiftieth of it.
const MOST: usize = 4 << 20;
const MOST_HEAD: usize = 16 << 10;

/// A message's head.
#[derive(Clone, Debug, Default)]
pub struct Head(String);

impl Head {
    /// The first line's word at a place: of a req its method and path, of an answer its version and status.
    pub fn word(&self, at: usize) -> &str {
        self.0.lines().next().and_then(|line| line.split(' ').nth(at)).unwrap_or_default()
    }

    /// An answer's status; 0 of what is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.0.lines().skip(1).filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    /// A header that is a number in hexadecimal digits, as ids of reqs are here.
    pub fn hex(&self, name: &str) -> Option<u64> {
        u64::from_str_radix(self.header(name)?, 16).ok()
    }

    /// A number in the path's query.
    pub fn query(&self, name: &str) -> Option<u64> {
        let query = self.word(1).split_once('?')?.1;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?.1.parse().ok()
    }
}

/// What a stream of bytes has come to.
#[derive(Clone, Debug)]
pub enum Seen {
    /// The first byte of a message.
    First,
    /// Its head, whole.
    Head(Head),
    /// Its last byte.
    Last,
}

/// Follows a stream's messages by their lengths, without keeping bodies.
#[derive(Debug, Default)]
pub struct Framer {
    head: Vec<u8>,
    /// Bytes of the body still to come; none while a head is coming.
    body: Option<usize>,
    /// What came was no message; the rest is not looked at.
    lost: bool,
}

impl Framer {
    pub fn follow(&mut self, mut bytes: &[u8], mut seen: impl FnMut(Seen)) {
        while !bytes.is_empty() && !self.lost {
            if let Some(left) = self.body {
                let part = left.min(bytes.len());
                bytes = &bytes[part..];
                self.body = Some(left - part).filter(|left| *left > 0);
                if self.body.is_none() {
                    seen(Seen::Last);
                }
                continue;
            }
            if self.head.is_empty() {
                seen(Seen::First);
            }
            let from = self.head.len();
            self.head.extend_from_slice(bytes);
            let looked = from.saturating_sub(3);
            match self.head[looked..].windows(4).position(|four| four == b"\r\n\r\n") {
                Some(at) => {
                    let end = looked + at + 4;
                    bytes = &bytes[end - from..];
                    let head = Head(String::from_utf8_lossy(&self.head[..end]).into_owned());
                    self.head.clear();
                    let length = head.header("content-length").and_then(|length| length.parse().ok());
                    self.body = length.filter(|length| *length > 0);
                    // What is sent in chunks has no length: nobody here does.
                    self.lost = head.header("transfer-encoding").is_some();
                    seen(Seen::Head(head));
                    if self.body.is_none() {
                        seen(Seen::Last);
                    }
                }
                None => {
                    bytes = &[];
                    self.lost = self.head.len() > MOST_HEAD;
                }
            }
        }
    }
}

/// One whole message.
#[derive(Debug, Default)]
pub struct Message {
    pub head: Head,
    pub body: Vec<u8>,
}

/// How far a message got that did not come whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Broke {
    /// Not a byte came.
    Before,
    Within,
}

impl Message {
    /// Reads the next one.
    pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Message, Broke> {
        let (mut framer, mut message, mut part) = (Framer::default(), Message::default(), [0; 4096]);
        let (mut bytes, mut begun, mut whole) = (Vec::new(), false, false);
        while !whole {
            let broke = if begun { Broke::Within } else { Broke::Before };
            let count = stream.read(&mut part).await.ok().filter(|count| *count > 0).ok_or(broke)?;
            begun = true;
            bytes.extend_from_slice(&part[..count]);
            framer.follow(&part[..count], |seen| match seen {
                Seen::First => {}
                Seen::Head(head) => message.head = head,
                Seen::Last => whole = true,
            });
            if framer.lost || bytes.len() > MOST {
                return Err(Broke::Within);
            }
        }
        let length: usize = message.head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = bytes.split_off(bytes.len() - length.min(bytes.len()));
        Ok(message)
    }
}

/// An answer with these headers, each line ended.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Drill\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a relay that misses a message because of where its bytes were cut.
    #[test]
    fn messages_are_seen_wherever_the_bytes_are_cut() {
        let text = b"POST /pay HTTP/1.1\r\nX-Call-Id: 2a\r\nContent-Length: 5\r\n\r\nhelloGET /read?after=7 HTTP/1.1\r\n\r\n";
        for step in 1..text.len() {
            let (mut framer, mut ids, mut lasts) = (Framer::default(), Vec::new(), 0);
            for bytes in text.chunks(step) {
                framer.follow(bytes, |seen| match seen {
                    Seen::First => {}
                    Seen::Head(head) => ids.push((head.hex("x-call-id"), head.query("after"))),
                    Seen::Last => lasts += 1,
                });
            }
            assert_eq!((ids, lasts), (vec![(Some(42), None), (None, Some(7))], 2), "in steps of {step}");
        }
    }
}
