//! The way by which controllers' messages travel.

/// How a message of another controller came here, and how a response goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageRoute {
    /// Over a connection between the two.
    Direct,
    /// By way of the store, which is slower and works where the connection is cut.
    Store,
}
