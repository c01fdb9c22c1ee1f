//! Schema of the stored data: keys, the records that are their values, and their encoding. Stored
//! data outlives the version that wrote it, so stored names and formats never change.

pub mod encoding;
pub mod keys;
pub mod records;
