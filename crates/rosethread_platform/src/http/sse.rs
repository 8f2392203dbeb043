//! Splits a stream of server-sent events into their data lines.

use bytes::{Bytes, BytesMut};

/// The longest accepted event, in bytes; a longer one breaks the stream off.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Collects bytes until they form whole events.
#[derive(Default)]
pub struct SseBuffer {
    bytes: BytesMut,
}

impl SseBuffer {
    /// Adds received bytes; returns false if an event is longer than accepted.
    pub fn push(&mut self, bytes: &Bytes) -> bool {
        self.bytes.extend_from_slice(bytes);
        self.bytes.len() <= MAX_EVENT_BYTES
    }

    /// Returns the data of the next whole event.
    pub fn next_data(&mut self) -> Option<String> {
        loop {
            let end = self.bytes.windows(2).position(|it| it == b"\n\n")?;
            let event = self.bytes.split_to(end + 2);
            let text = String::from_utf8_lossy(&event);
            let data = text.lines().find_map(|it| it.strip_prefix("data:"));
            if let Some(data) = data {
                return Some(data.trim_start().to_owned());
            }
        }
    }
}
