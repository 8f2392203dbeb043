//! A program's history: the chain of its finished exchanges.

use displaydoc::Display;
use rosethread_types::{Digest, RequestId, Tokens, Turn};
use serde::{Deserialize, Serialize};

/// What a finished call consumed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the whole prompt, history included.
    pub prompt: Tokens,
    /// Prompt tokens that the engine found in its cache.
    pub cached: Tokens,
    /// Tokens generated.
    pub completion: Tokens,
}

/// One finished call: what the caller sent and the whole answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The identifier under which the caller made the call.
    pub request: RequestId,
    /// What the caller added in this turn: a JSON array of messages, or a service's request body.
    pub input: String,
    /// The whole answer.
    pub answer: String,
    /// Whether the exchange belongs to the model's prompt; a service's does not.
    pub prompted: bool,
    /// What the call consumed.
    pub usage: Usage,
}

impl Exchange {
    /// Returns the digest of the chain that ends with this exchange.
    pub fn digest(&self, previous: Digest) -> Digest {
        let prompted = [u8::from(self.prompted)];
        let request = self.request.as_str().as_bytes();
        previous.chain(&[request, &prompted, self.input.as_bytes(), self.answer.as_bytes()])
    }
}

/// Why supplied history was not accepted.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HistoryError {
    /// the supplied turns do not lead to the continuation's digest
    DigestMismatch,
    /// turns are missing before the supplied ones
    Gap,
}

impl std::error::Error for HistoryError {}

/// The finished exchanges of a program, with the digest after each.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    exchanges: Vec<Exchange>,
    digests: Vec<Digest>,
}

impl History {
    /// Returns the number of finished turns, which is the number of the next one.
    pub fn next_turn(&self) -> Turn {
        self.exchanges.len() as Turn
    }

    /// Returns the digest after the last turn.
    pub fn digest(&self) -> Digest {
        self.digests.last().copied().unwrap_or_default()
    }

    /// Returns the digest before turn `turn`, if the history reaches that far.
    pub fn digest_before(&self, turn: Turn) -> Option<Digest> {
        if turn == 0 {
            return Some(Digest::default());
        }
        self.digests.get(turn as usize - 1).copied()
    }

    /// Returns the finished exchanges in order.
    pub fn exchanges(&self) -> &[Exchange] {
        &self.exchanges
    }

    /// Returns the turn and exchange of `request`.
    pub fn find_request(&self, request: &RequestId) -> Option<(Turn, &Exchange)> {
        let index = self.exchanges.iter().rposition(|it| it.request == *request)?;
        Some((index as Turn, &self.exchanges[index]))
    }

    /// Appends a finished exchange.
    pub fn push(&mut self, exchange: Exchange) {
        let digest = exchange.digest(self.digest());
        self.exchanges.push(exchange);
        self.digests.push(digest);
    }

    /// Appends exchanges that the caller supplied, if they lead to `digest` before `turn`.
    ///
    /// The supplied ones end before `turn` and may begin with turns that are known already, since
    /// a caller may have been asked by another owner. Nothing is changed unless the whole
    /// supplement is genuine.
    pub fn extend_verified(
        &mut self,
        supplied: &[Exchange],
        turn: Turn,
        digest: Digest,
    ) -> Result<(), HistoryError> {
        let start = (turn as usize).checked_sub(supplied.len()).ok_or(HistoryError::Gap)?;
        let known = (self.next_turn() as usize).checked_sub(start).ok_or(HistoryError::Gap)?;
        let supplied = supplied.get(known..).ok_or(HistoryError::Gap)?;
        let end = supplied.iter().fold(self.digest(), |it, exchange| exchange.digest(it));
        if end != digest {
            return Err(HistoryError::DigestMismatch);
        }
        for exchange in supplied {
            self.push(exchange.clone());
        }
        Ok(())
    }

    /// Returns the prompt and completion tokens of the last exchange with a model.
    pub fn context_tokens(&self) -> Tokens {
        let last = self.exchanges.iter().rev().find(|it| it.prompted);
        last.map_or(0, |it| it.usage.prompt + it.usage.completion)
    }

    /// Returns the bytes that the history occupies.
    pub fn size_bytes(&self) -> usize {
        self.exchanges.iter().map(|it| it.input.len() + it.answer.len()).sum()
    }
}
