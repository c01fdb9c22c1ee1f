//! A token bucket: the client's side of the rate limits of the store and of the cloud.

use tokio::time::Instant;

/// A rate limit that allows bursts.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens added a second.
    rate: f64,
    tokens: f64,
    /// Seconds' worth of tokens that the bucket holds.
    burst_s: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: f64, burst_s: f64, now: Instant) -> TokenBucket {
        TokenBucket { rate, tokens: rate * burst_s, burst_s, refilled_at: now }
    }

    /// Changes the rate; tokens beyond what the bucket then holds are lost.
    pub fn set_rate(&mut self, rate: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(rate * self.burst_s);
    }

    fn capacity(&self) -> f64 {
        (self.rate * self.burst_s).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(self.capacity());
        self.refilled_at = now;
    }

    /// Whether so many tokens are there. A full bucket lets through more than it holds.
    pub fn has(&mut self, tokens: f64, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= tokens.min(self.capacity())
    }

    /// Takes tokens, whether they are there or not.
    pub fn take(&mut self, tokens: f64, now: Instant) {
        self.refill(now);
        self.tokens -= tokens;
    }

    /// How many tokens are there.
    pub fn available(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens.max(0.0)
    }
}
