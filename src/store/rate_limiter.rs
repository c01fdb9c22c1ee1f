//! Token bucket with which this process respects the rate limits of the store and of the cloud.

use tokio::time::Instant;

/// Rate limiter that allows bursts.
#[derive(Debug)]
pub struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    tokens: f64,
    /// Capacity of the bucket, in seconds of its rate.
    burst_s: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: f64, burst_s: f64, now: Instant) -> TokenBucket {
        TokenBucket { rate, tokens: rate * burst_s, burst_s, refilled_at: now }
    }

    /// Changes the rate and discards the tokens above the new capacity.
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

    /// Returns whether this many tokens are available. A full bucket permits a request for more tokens
    /// than its capacity.
    pub fn has(&mut self, tokens: f64, now: Instant) -> bool {
        self.refill(now);
        self.tokens >= tokens.min(self.capacity())
    }

    /// Takes tokens, even if fewer are available; the balance may become negative.
    pub fn take(&mut self, tokens: f64, now: Instant) {
        self.refill(now);
        self.tokens -= tokens;
    }

    /// Returns the number of available tokens.
    pub fn available(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens.max(0.0)
    }
}
