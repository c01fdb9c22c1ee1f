//! What is stored: the keys, the records that are their values, and how those are encoded. Stored
//! data outlives the version that wrote it, so names and forms here never change.

pub mod encoding;
pub mod keys;
pub mod records;
