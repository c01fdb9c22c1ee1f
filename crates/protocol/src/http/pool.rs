//! Pool of idle connections that the client reuses.

use crate::constants::{MAX_IDLE_PER_ADDRESS, MAX_REUSE_AGE};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Connection that no call uses, and the time since which it has been idle.
struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

impl IdleConnection {
    fn is_fresh(&self) -> bool {
        self.since.elapsed() < MAX_REUSE_AGE
    }
}

/// Bounded pool of idle connections. The bound leaves enough sockets for connections from workers and to the store.
pub(super) struct Pool {
    /// Maximum number of counted connections.
    max_idle: usize,
    /// Addresses whose connections are not counted.
    exempt: Vec<SocketAddr>,
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    /// Number of idle connections to addresses that are not exempt.
    counted: usize,
    /// Time at which stale connections were last closed.
    last_sweep: Option<Instant>,
}

impl Pool {
    /// Creates an empty pool of at most `max_idle` connections, not counting those to `exempt` addresses.
    pub(super) fn new(max_idle: usize, exempt: Vec<SocketAddr>) -> Pool {
        Pool { max_idle, exempt, idle: HashMap::new(), counted: 0, last_sweep: None }
    }

    fn is_counted(&self, address: &SocketAddr) -> bool {
        !self.exempt.contains(address)
    }

    /// Keeps a connection for reuse unless the pool or the list of its address is full.
    pub(super) fn keep(&mut self, address: SocketAddr, stream: TcpStream) {
        let is_counted = self.is_counted(&address);
        if is_counted && self.counted >= self.max_idle {
            if self.last_sweep.is_some_and(|at| at.elapsed() < MAX_REUSE_AGE / 10) {
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
        if list.len() < MAX_IDLE_PER_ADDRESS {
            list.push(IdleConnection { stream, since: Instant::now() });
            self.counted += usize::from(is_counted);
        }
    }

    /// Closes stale connections, at most once per [`MAX_REUSE_AGE`].
    pub(super) fn sweep_if_due(&mut self) {
        if self.counted > 0 && self.last_sweep.is_none_or(|at| at.elapsed() >= MAX_REUSE_AGE) {
            self.sweep();
        }
    }

    /// Closes connections that have been idle for [`MAX_REUSE_AGE`] or longer.
    fn sweep(&mut self) {
        self.last_sweep = Some(Instant::now());
        self.idle.retain(|_, list| {
            list.retain(IdleConnection::is_fresh);
            !list.is_empty()
        });
        let counted = self.idle.iter().filter(|(address, _)| self.is_counted(address));
        self.counted = counted.map(|(_, list)| list.len()).sum();
    }

    /// Sets the maximum number of counted connections and closes those beyond it.
    pub(super) fn set_max_idle(&mut self, max_idle: usize) {
        self.max_idle = max_idle;
        if self.counted <= max_idle {
            return;
        }
        self.sweep();
        let mut excess = self.counted.saturating_sub(max_idle);
        let exempt = &self.exempt;
        self.idle.retain(|address, list| {
            if !exempt.contains(address) {
                let closed = excess.min(list.len());
                list.drain(..closed);
                excess -= closed;
            }
            !list.is_empty()
        });
        self.counted = self.counted.min(max_idle);
    }

    /// Takes a usable connection to this address out of the pool.
    pub(super) fn take(&mut self, address: &SocketAddr) -> Option<TcpStream> {
        let is_counted = self.is_counted(address);
        let list = self.idle.get_mut(address)?;
        let mut usable = None;
        while let Some(connection) = list.pop() {
            self.counted -= usize::from(is_counted);
            if connection.is_fresh() && is_still_open(&connection.stream) {
                usable = Some(connection.stream);
                break;
            }
        }
        if list.is_empty() {
            self.idle.remove(address);
        }
        usable
    }
}

/// Returns whether an idle connection can be reused: the peer has neither closed it nor sent unexpected bytes.
fn is_still_open(stream: &TcpStream) -> bool {
    let mut probe = [0u8; 1];
    matches!(stream.try_read(&mut probe), Err(ref e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

#[cfg(test)]
mod tests;
