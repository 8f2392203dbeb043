//! Incremental parser for server-sent events (SSE).
//!
//! Only complete events are forwarded to callers. A target may fail in the middle of an event, and
//! the target that resumes the stream then sends that event again from its start.
//!
//! Of the standard's fields, only `id` and `data` are read. A carriage return alone does not end a
//! line here, and a field name without a colon is ignored.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

/// Limit on the bytes in the buffer, and thus on the size of one event.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The value of its `id` field, if that is a number. Targets number the events of a stream in
    /// ascending order, so events that are sent again can be recognised.
    pub id: Option<u64>,
    /// The values of its `data` fields, joined by line feeds.
    pub data: Bytes,
    /// The raw bytes as received, including the empty line that ends the event.
    pub bytes: Bytes,
}

/// an event in the stream exceeds the size limit
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct EventTooLarge;

/// Buffers received bytes and splits them into complete events.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    bytes: BytesMut,
    /// Number of leading bytes already searched for the end of an event.
    searched: usize,
}

impl EventBuffer {
    /// Appends received bytes, which may begin and end anywhere within an event.
    ///
    /// Fails, and appends nothing, if the buffer would exceed its size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if MAX_EVENT_BYTES < self.bytes.len() + bytes.len() {
            return Err(EventTooLarge);
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns whether the buffer holds the beginning of an incomplete event, provided that
    /// [`next_event`](EventBuffer::next_event) has just returned `None`.
    pub fn has_partial(&self) -> bool {
        !self.bytes.is_empty()
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        // Extra line ends may remain between the previous event and the next one. Once part of the
        // buffer has been searched, it starts with an event.
        while matches!(self.bytes.first(), Some(b'\n' | b'\r')) && self.searched == 0 {
            self.bytes.advance(1);
        }
        let end = self.find_event_end()?;
        self.searched = 0;
        let bytes = self.bytes.split_to(end).freeze();
        Some(parse_event(bytes))
    }

    /// Returns the offset just past the empty line that ends the first event.
    fn find_event_end(&mut self) -> Option<usize> {
        // The searched bytes may end with the beginning of the two or three bytes that end an
        // event.
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

fn parse_event(bytes: Bytes) -> Event {
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
