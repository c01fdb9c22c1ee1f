//! Routes of messages between controllers.

/// Route on which a message of another controller arrived; the response takes the same route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageRoute {
    /// Direct connection between the two controllers.
    Direct,
    /// Messages written to the store, which is slower but works while the connection is cut.
    Store,
}
