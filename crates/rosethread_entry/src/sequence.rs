//! Follows the numbers of the events that the caller of a stream gets.
//!
//! Targets number the events of a stream in ascending order, mostly by one. The target that takes a stream
//! up behind another's events may skip some of them, or not go on at all.

/// How an event follows those that the caller has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventOrder {
    /// It is the next one.
    Next,
    /// The caller has it already.
    Repeated,
    /// Events before it are missing.
    Missing,
}

/// The numbers of the events that the caller has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventSequence {
    /// The number of the last event, also of one that the caller had before this call.
    last: Option<u64>,
    /// The number of events of this call.
    count: u64,
    /// Whether each of them had the number behind the one before it.
    is_dense: bool,
    /// Whether the last of them had a number.
    is_numbered: bool,
    /// Whether another target has gone on behind one of them.
    is_taken_up: bool,
}

impl EventSequence {
    /// Begins behind the event `resume_after`, or with the first one.
    pub fn new(resume_after: Option<u64>) -> EventSequence {
        EventSequence {
            last: resume_after,
            count: 0,
            is_dense: true,
            is_numbered: false,
            is_taken_up: false,
        }
    }

    /// Returns the number of the last event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether the caller has an event of this call.
    pub fn has_events(&self) -> bool {
        self.count != 0
    }

    /// Returns whether another target can go on with the stream: it has to know behind which event.
    pub fn can_be_taken_up(&self) -> bool {
        !self.has_events() || self.is_numbered
    }

    /// Returns how an event with this number follows the others.
    ///
    /// Numbers are taken for dense only if a target has shown that they are, and a gap counts only once
    /// another target has taken the stream up: the first one knows what it sends.
    pub fn check(&self, id: Option<u64>) -> EventOrder {
        let expects_next = self.is_taken_up && self.has_events() && self.is_dense;
        match (id, self.last) {
            (Some(id), Some(last)) if id <= last => EventOrder::Repeated,
            (Some(id), Some(last)) if expects_next && last + 1 < id => EventOrder::Missing,
            (None, _) if expects_next => EventOrder::Missing,
            _ => EventOrder::Next,
        }
    }

    /// Records that the caller gets an event with this number.
    pub fn record(&mut self, id: Option<u64>) {
        let is_next = match (id, self.last) {
            (Some(id), Some(last)) => last.checked_add(1) == Some(id),
            // The first event is number 0 or 1.
            (Some(id), None) => id <= 1,
            (None, _) => false,
        };
        self.is_dense &= is_next;
        self.is_numbered = id.is_some();
        self.count += 1;
        self.last = id.or(self.last);
    }

    /// Records that another target goes on with the stream.
    pub fn take_up(&mut self) {
        self.is_taken_up |= self.has_events();
    }
}
