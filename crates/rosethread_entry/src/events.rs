//! Splits a stream of server-sent events into whole events.
//!
//! Only whole events are passed on: a target may stop in the middle of one, and another target
//! then goes on with that event from its start.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

/// The largest event that is accepted, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// Its data: the contents of its data lines, joined by line feeds.
    pub data: Bytes,
    /// All of its bytes, with the empty line that ends it.
    pub bytes: Bytes,
}

/// an event of the stream is too large
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct EventTooLarge;

/// Collects bytes until they make a whole event.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// The bytes that have been searched for the end of an event.
    searched: usize,
}

impl EventBuffer {
    /// Adds bytes as they arrived.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if MAX_EVENT_BYTES < self.bytes.len() + bytes.len() {
            return Err(EventTooLarge);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Tells whether bytes are left that make no whole event.
    pub fn has_partial(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        // Line ends of earlier events may be left in front of the next one.
        while matches!(self.bytes.first(), Some(b'\n' | b'\r')) && self.searched == 0 {
            self.bytes.advance(1);
        }
        let end = self.find_end()?;
        self.searched = 0;
        let bytes = self.bytes.split_to(end).freeze();
        Some(parse(bytes))
    }

    /// Returns the position behind the empty line that ends the first event.
    fn find_end(&mut self) -> Option<usize> {
        let start = self.searched.saturating_sub(3);
        let text = &self.bytes[..];
        for index in start..text.len() {
            let rest = &text[index..];
            if rest.starts_with(b"\n\n") {
                return Some(index + 2);
            }
            if rest.starts_with(b"\n\r\n") {
                return Some(index + 3);
            }
        }
        self.searched = text.len();
        None
    }
}

fn parse(bytes: Bytes) -> Event {
    let mut id = None;
    let mut data = BytesMut::new();
    let mut has_data = false;
    for line in bytes.split(|it| *it == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|it| *it == b':') else {
            continue;
        };
        let value = &line[colon + 1..];
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match &line[..colon] {
            b"id" => id = std::str::from_utf8(value).ok().and_then(|it| it.parse().ok()),
            b"data" => {
                if has_data {
                    data.extend_from_slice(b"\n");
                }
                has_data = true;
                data.extend_from_slice(value);
            }
            _ => (),
        }
    }
    Event { id, data: data.freeze(), bytes }
}
