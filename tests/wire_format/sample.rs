//! A sample value with its encoded bytes and the reader that decodes them.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use troutspindle::wire::{self, StoreValue};

/// Decodes bytes and returns the Debug output of the value.
type Read = Box<dyn Fn(&[u8]) -> String>;

/// A value to be compared with its line in the fixture.
pub(crate) struct Sample {
    /// Name of the line in the fixture, independent of names in the code.
    pub name: &'static str,
    /// Encoding of the value.
    pub bytes: Vec<u8>,
    /// Debug output of the value, and the reader for its bytes; `None` if this program never reads it.
    reading: Option<(String, Read)>,
}

impl Sample {
    /// Returns a sample that this program only writes.
    pub(crate) fn written(name: &'static str, bytes: impl Into<Vec<u8>>) -> Sample {
        Sample { name, bytes: bytes.into(), reading: None }
    }

    /// Returns a sample that `read` decodes.
    pub(crate) fn read_by<T: Debug + 'static>(
        name: &'static str,
        bytes: impl Into<Vec<u8>>,
        value: &T,
        read: impl Fn(&[u8]) -> Option<T> + 'static,
    ) -> Sample {
        let show = move |bytes: &[u8]| format!("{:?}", read(bytes).expect("readable bytes"));
        let reading = Some((format!("{value:?}"), Box::new(show) as Read));
        Sample { name, bytes: bytes.into(), reading }
    }

    /// Returns a sample of a CBOR message.
    pub(crate) fn cbor<T>(name: &'static str, value: &T) -> Sample
    where
        T: Serialize + DeserializeOwned + Debug + 'static,
    {
        Sample::read_by(name, wire::encode(value), value, |bytes| wire::decode::<T>(bytes).ok())
    }

    /// Returns a sample of a CBOR message that omits the optional fields `keys`.
    pub(crate) fn cbor_without<T>(name: &'static str, value: &T, keys: &[&str]) -> Sample
    where
        T: Serialize + DeserializeOwned + Debug + 'static,
    {
        let Ok(StoreValue::Map(mut fields)) = StoreValue::serialized(value) else {
            panic!("{name} is not a map")
        };
        let all = fields.len();
        fields.retain(|(key, _)| !key.as_text().is_some_and(|key| keys.contains(&key)));
        assert_eq!(all - fields.len(), keys.len(), "{name} lacks one of {keys:?}");
        let bytes = wire::encode(&StoreValue::Map(fields));
        Sample::read_by(name, bytes, value, |bytes| wire::decode::<T>(bytes).ok())
    }

    /// Returns a sample of a value as it is kept in the store.
    pub(crate) fn stored<T>(name: &'static str, value: &T) -> Sample
    where
        T: Serialize + DeserializeOwned + Debug + 'static,
    {
        let data = StoreValue::serialized(value).expect("a record serializes");
        Sample::read_by(name, wire::encode(&data), value, |bytes| {
            wire::decode::<StoreValue>(bytes).ok()?.deserialized::<T>().ok()
        })
    }

    /// Returns a sample of a JSON message.
    pub(crate) fn json<T>(name: &'static str, value: &T) -> Sample
    where
        T: Serialize + DeserializeOwned + Debug + 'static,
    {
        let bytes = serde_json::to_vec(value).expect("a message serializes");
        Sample::read_by(name, bytes, value, |bytes| serde_json::from_slice::<T>(bytes).ok())
    }

    /// Panics unless these bytes are read as the value.
    pub(crate) fn assert_reads(&self, bytes: &[u8]) {
        if let Some((shown, read)) = &self.reading {
            assert_eq!(read(bytes), *shown, "{}", self.name);
        }
    }
}
