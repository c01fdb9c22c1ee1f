//! Sequence numbers of messages to peers, and send times of the status messages that peers respond to.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Number of most recent status messages to which responses are accepted.
const REMEMBERED_REQUESTS: usize = 20;

#[derive(Debug)]
struct SentRequest {
    seq: u64,
    at: Instant,
}

/// Assigns the sequence numbers of this controller's messages.
#[derive(Debug)]
pub(super) struct PeerRequests {
    last_seq: u64,
    sent: VecDeque<SentRequest>,
}

impl PeerRequests {
    /// Starts numbering after `first`. A restarted process must use a different `first`, so that late responses to an
    /// earlier incarnation match no request.
    pub(super) fn new(first: u64) -> PeerRequests {
        PeerRequests { last_seq: first, sent: VecDeque::new() }
    }

    pub(super) fn next_seq(&mut self) -> u64 {
        self.last_seq += 1;
        self.last_seq
    }

    /// Returns the number for a status message that is sent now, and records its send time.
    pub(super) fn next_status(&mut self, now: Instant) -> u64 {
        let seq = self.next_seq();
        self.sent.push_back(SentRequest { seq, at: now });
        if self.sent.len() > REMEMBERED_REQUESTS {
            self.sent.pop_front();
        }
        seq
    }

    /// Returns the send time of the status message with that number, if it is still remembered.
    pub(super) fn sent_at(&self, seq: u64) -> Option<Instant> {
        self.sent.iter().find(|sent| sent.seq == seq).map(|sent| sent.at)
    }
}
