//! Idle connections that are kept for the next call.

use crate::constants::{IDLE_PER_ADDRESS, REUSE_WITHIN};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A connection without a call, and since when.
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

impl IdleConnection {
    fn is_fresh(&self) -> bool {
        self.since.elapsed() < REUSE_WITHIN
    }
}

/// Idle connections, bounded: they must not use up the sockets that workers and the state service need.
pub(super) struct Pool {
    /// How many may be kept.
    max_idle: usize,
    /// Addresses whose connections are not counted against that.
    exempt: Vec<SocketAddr>,
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    /// How many are kept and counted.
    counted: usize,
    /// When those too old to be used were last closed.
    swept: Option<Instant>,
}

impl Pool {
    /// An empty pool of at most `max_idle` connections beside those to `exempt` addresses.
    pub(super) fn new(max_idle: usize, exempt: Vec<SocketAddr>) -> Pool {
        Pool { max_idle, exempt, idle: HashMap::new(), counted: 0, swept: None }
    }

    fn is_counted(&self, address: &SocketAddr) -> bool {
        !self.exempt.contains(address)
    }

    /// Keeps a connection for the next call, if there is room for it.
    pub(super) fn keep(&mut self, address: SocketAddr, stream: TcpStream) {
        let is_counted = self.is_counted(&address);
        if is_counted && self.counted >= self.max_idle {
            if self.swept.is_some_and(|at| at.elapsed() < REUSE_WITHIN / 10) {
                return;
            }
            self.sweep();
            if self.counted >= self.max_idle {
                return;
            }
        }
        let list = self.idle.entry(address).or_default();
        let before = list.len();
        list.retain(IdleConnection::is_fresh);
        if is_counted {
            self.counted -= before - list.len();
        }
        if list.len() < IDLE_PER_ADDRESS {
            list.push(IdleConnection { stream, since: Instant::now() });
            self.counted += usize::from(is_counted);
        }
    }

    /// Closes connections too old to be used again, every [`REUSE_WITHIN`].
    pub(super) fn sweep_if_due(&mut self) {
        if self.counted > 0 && self.swept.is_none_or(|at| at.elapsed() >= REUSE_WITHIN) {
            self.sweep();
        }
    }

    /// Closes connections too old to be used again.
    fn sweep(&mut self) {
        self.swept = Some(Instant::now());
        self.idle.retain(|_, list| {
            list.retain(IdleConnection::is_fresh);
            !list.is_empty()
        });
        let counted = self.idle.iter().filter(|(address, _)| self.is_counted(address));
        self.counted = counted.map(|(_, list)| list.len()).sum();
    }

    /// Sets how many may be kept, and closes those beyond.
    pub(super) fn set_max_idle(&mut self, max_idle: usize) {
        self.max_idle = max_idle;
        if self.counted <= max_idle {
            return;
        }
        self.sweep();
        let mut beyond = self.counted.saturating_sub(max_idle);
        let exempt = &self.exempt;
        self.idle.retain(|address, list| {
            if !exempt.contains(address) {
                let closed = beyond.min(list.len());
                list.drain(..closed);
                beyond -= closed;
            }
            !list.is_empty()
        });
        self.counted = self.counted.min(max_idle);
    }

    /// A connection to this address that can be used.
    pub(super) fn take(&mut self, address: &SocketAddr) -> Option<TcpStream> {
        let is_counted = self.is_counted(address);
        let list = self.idle.get_mut(address)?;
        let mut kept = None;
        while let Some(connection) = list.pop() {
            self.counted -= usize::from(is_counted);
            if connection.is_fresh() && is_still_open(&connection.stream) {
                kept = Some(connection.stream);
                break;
            }
        }
        if list.is_empty() {
            self.idle.remove(address);
        }
        kept
    }
}

/// An idle connection on which the far side has closed (or spoken out of turn) is not reused.
fn is_still_open(stream: &TcpStream) -> bool {
    let mut probe = [0u8; 1];
    matches!(stream.try_read(&mut probe), Err(ref e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests;
