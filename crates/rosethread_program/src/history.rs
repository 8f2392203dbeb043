//! A program's history: its finished exchanges, linked by a chain of digests.

use displaydoc::Display;
use rosethread_types::{Digest, RequestId, Tokens, Turn};
use serde::{Deserialize, Serialize};

/// The token counts of one finished call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the whole prompt, history included.
    pub prompt: Tokens,
    /// Prompt tokens that the engine already had in its cache.
    pub cached: Tokens,
    /// Generated tokens.
    pub completion: Tokens,
}

/// One finished call: the caller's input and the complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The identifier under which the caller made the call.
    pub request: RequestId,
    /// The input of this turn: a JSON array of messages, or the request body for a service.
    pub input: String,
    /// The complete answer.
    pub answer: String,
    /// Whether later model prompts contain this exchange; exchanges with a service are left out.
    pub prompted: bool,
    /// The call's token counts.
    pub usage: Usage,
}

impl Exchange {
    /// Returns the digest of the history that ends with this exchange, given the digest before it.
    pub fn digest(&self, previous: Digest) -> Digest {
        let prompted = [u8::from(self.prompted)];
        let request = self.request.as_str().as_bytes();
        previous.chain(&[request, &prompted, self.input.as_bytes(), self.answer.as_bytes()])
    }
}

/// Why a history supplied by a caller was rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HistoryError {
    /// the supplied turns do not lead to the continuation's digest
    DigestMismatch,
    /// turns are missing before the supplied ones
    Gap,
}

impl std::error::Error for HistoryError {}

/// The finished exchanges of a program, with the chained digest after each one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    exchanges: Vec<Exchange>,
    digests: Vec<Digest>,
}

impl History {
    /// Returns the number of the next turn, which equals the number of finished turns.
    pub fn next_turn(&self) -> Turn {
        self.exchanges.len() as Turn
    }

    /// Returns the digest after the last finished turn.
    pub fn digest(&self) -> Digest {
        self.digests.last().copied().unwrap_or_default()
    }

    /// Returns the digest of all turns before `turn`, or `None` if some of them are missing.
    pub fn digest_before(&self, turn: Turn) -> Option<Digest> {
        if turn == 0 {
            return Some(Digest::default());
        }
        self.digests.get(turn as usize - 1).copied()
    }

    /// Returns the finished exchanges in turn order.
    pub fn exchanges(&self) -> &[Exchange] {
        &self.exchanges
    }

    /// Returns the turn and exchange of `request`, if it has finished.
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

    /// Appends exchanges supplied by the caller if their digest chain ends in `digest`.
    ///
    /// The last supplied exchange belongs to the turn before `turn`. The first ones may repeat
    /// turns that are already here, since another owner may have requested them. If verification
    /// fails, the history is left unchanged.
    pub fn extend_verified(
        &mut self,
        supplied: &[Exchange],
        turn: Turn,
        digest: Digest,
    ) -> Result<(), HistoryError> {
        let start = (turn as usize).checked_sub(supplied.len()).ok_or(HistoryError::Gap)?;
        let overlap = (self.next_turn() as usize).checked_sub(start).ok_or(HistoryError::Gap)?;
        let supplied = supplied.get(overlap..).ok_or(HistoryError::Gap)?;
        let end = supplied.iter().fold(self.digest(), |it, exchange| exchange.digest(it));
        if end != digest {
            return Err(HistoryError::DigestMismatch);
        }
        for exchange in supplied {
            self.push(exchange.clone());
        }
        Ok(())
    }

    /// Returns the context length after the last exchange with a model: prompt plus completion.
    pub fn context_tokens(&self) -> Tokens {
        let last = self.exchanges.iter().rev().find(|it| it.prompted);
        last.map_or(0, |it| it.usage.prompt + it.usage.completion)
    }

    /// Returns the total size of all inputs and answers, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.exchanges.iter().map(|it| it.input.len() + it.answer.len()).sum()
    }
}
