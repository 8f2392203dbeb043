//! A parser for streams of server-sent events.

use bytes::{Bytes, BytesMut};

/// The maximum size of an event, in bytes; a larger one ends the stream with an error.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers received bytes until they form complete events.
#[derive(Default)]
pub struct SseBuffer {
    bytes: BytesMut,
}

impl SseBuffer {
    /// Adds received bytes; returns `false` if the buffer exceeds the maximum size of an event.
    pub fn push(&mut self, bytes: &Bytes) -> bool {
        self.bytes.extend_from_slice(bytes);
        self.bytes.len() <= MAX_EVENT_BYTES
    }

    /// Returns the first data line of the next complete event; events without data are skipped.
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
