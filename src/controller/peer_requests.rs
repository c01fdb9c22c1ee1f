//! Numbers of messages to peers, and when those that peers respond to were sent.

use std::collections::VecDeque;
use tokio::time::Instant;

/// Count. Status messages whose responses still count.
const REMEMBERED_REQUESTS: usize = 20;

#[derive(Debug)]
struct SentRequest {
    seq: u64,
    at: Instant,
}

/// Numbers this controller's messages.
#[derive(Debug)]
pub(super) struct PeerRequests {
    last_seq: u64,
    sent: VecDeque<SentRequest>,
}

impl PeerRequests {
    /// A restarted process begins with another `first` number, so that late responses to an earlier incarnation match
    /// no request.
    pub(super) fn new(first: u64) -> PeerRequests {
        PeerRequests { last_seq: first, sent: VecDeque::new() }
    }

    /// The number of a message that is sent next.
    pub(super) fn next_seq(&mut self) -> u64 {
        self.last_seq += 1;
        self.last_seq
    }

    /// The number of a status message that is sent now, to which peers respond.
    pub(super) fn next_status(&mut self, now: Instant) -> u64 {
        let seq = self.next_seq();
        self.sent.push_back(SentRequest { seq, at: now });
        if self.sent.len() > REMEMBERED_REQUESTS {
            self.sent.pop_front();
        }
        seq
    }

    /// When the status message with that number was sent.
    pub(super) fn sent_at(&self, seq: u64) -> Option<Instant> {
        self.sent.iter().find(|sent| sent.seq == seq).map(|sent| sent.at)
    }
}
