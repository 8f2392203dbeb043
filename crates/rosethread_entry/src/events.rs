//! Incremental parser for server-sent events (SSE).
//!
//! Only complete events are forwarded to callers. A target may fail in the middle of an event, and
//! the target that resumes the stream then sends that event again from its start.
//!
//! Of the standard's fields, only `id` and `data` are read. A carriage return alone does not end a
//! line here.
//!
//! A target in trouble, or what stands before it, may write an error into a stream that has begun. Such
//! bytes are no event, and never reach the caller.

use bytes::{Buf, Bytes, BytesMut};
use displaydoc::Display;

/// Limit on the bytes in the buffer, and thus on the size of one event.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// The fields of the standard. Others are accepted beside one of these.
const EVENT_FIELDS: [&[u8]; 4] = [b"id", b"data", b"event", b"retry"];

/// Fields that only the head of a response has.
const HEAD_FIELDS: [&[u8]; 5] =
    [b"content-length", b"content-type", b"transfer-encoding", b"connection", b"date"];

/// The most characters of unexpected bytes that an error quotes.
const MAX_QUOTED_CHARS: usize = 60;

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

impl Event {
    /// Returns whether it holds a comment or a setting alone, such as targets send to keep a connection open.
    pub fn is_comment(&self) -> bool {
        self.id.is_none() && self.data.is_empty()
    }
}

/// an event in the stream exceeds the size limit
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub struct EventTooLarge;

/// the stream holds bytes that are no event: {0:?}
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub struct NoEvent(pub String);

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
    ///
    /// Fails if an event is due and something else is there.
    pub fn next_event(&mut self) -> Result<Option<Event>, NoEvent> {
        // Extra line ends may remain between the previous event and the next one. Once part of the
        // buffer has been searched, it starts with an event.
        while matches!(self.bytes.first(), Some(b'\n' | b'\r')) && self.searched == 0 {
            self.bytes.advance(1);
        }
        let Some(end) = self.find_event_end() else {
            return Ok(None);
        };
        self.searched = 0;
        let bytes = self.bytes.split_to(end).freeze();
        parse_event(bytes).map(Some)
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

fn parse_event(bytes: Bytes) -> Result<Event, NoEvent> {
    let mut id = None;
    let mut data = BytesMut::new();
    let mut has_data = false;
    let mut is_event = false;
    for line in bytes.split(|it| *it == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let colon = line.iter().position(|it| *it == b':');
        // A line without a colon is a field without a value; one that begins with it is a comment.
        let (name, value) = colon.map_or((line, &line[..0]), |it| (&line[..it], &line[it + 1..]));
        if !is_field_name(name) {
            return Err(NoEvent(quote(line)));
        }
        is_event |= colon == Some(0) || EVENT_FIELDS.contains(&name);
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match name {
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
    if is_event {
        Ok(Event { id, data: data.freeze(), bytes })
    } else {
        Err(NoEvent(quote(&bytes)))
    }
}

/// Returns whether a line may begin with `name`: not with text, nor with a field of a response's head.
fn is_field_name(name: &[u8]) -> bool {
    let is_text = name.iter().any(|it| it.is_ascii_whitespace());
    !is_text && !HEAD_FIELDS.iter().any(|it| it.eq_ignore_ascii_case(name))
}

/// Returns the beginning of unexpected bytes, for logs.
fn quote(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).chars().take(MAX_QUOTED_CHARS).collect()
}
