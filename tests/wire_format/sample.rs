//! A value with the bytes that it is written with, and how it is read again.

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;
use troutspindle::wire::{self, StoreValue};

type Read = Box<dyn Fn(&[u8]) -> String>;

pub(crate) struct Sample {
    /// Its line in the fixture; it has nothing to do with names in the code.
    pub name: &'static str,
    pub bytes: Vec<u8>,
    /// How the value is shown, and how what is read from bytes is.
    reading: Option<(String, Read)>,
}

impl Sample {
    /// What is only written by this program.
    pub(crate) fn written(name: &'static str, bytes: impl Into<Vec<u8>>) -> Sample {
        Sample { name, bytes: bytes.into(), reading: None }
    }

    /// What is read, too, by this reader.
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

    /// A message in CBOR.
    pub(crate) fn cbor<T>(name: &'static str, value: &T) -> Sample
    where
        T: Serialize + DeserializeOwned + Debug + 'static,
    {
        Sample::read_by(name, wire::encode(value), value, |bytes| wire::decode::<T>(bytes).ok())
    }

    /// A message in CBOR that leaves out what may be missing.
    pub(crate) fn cbor_without<T>(name: &'static str, value: &T, keys: &[&str]) -> Sample
    where
        T: Serialize + DeserializeOwned + Debug + 'static,
    {
        let Ok(StoreValue::Map(mut fields)) = StoreValue::serialized(value) else {
            panic!("{name} is no map")
        };
        let all = fields.len();
        fields.retain(|(key, _)| !key.as_text().is_some_and(|key| keys.contains(&key)));
        assert_eq!(all - fields.len(), keys.len(), "{name} lacks one of {keys:?}");
        let bytes = wire::encode(&StoreValue::Map(fields));
        Sample::read_by(name, bytes, value, |bytes| wire::decode::<T>(bytes).ok())
    }

    /// A value as it stands at the state service.
    pub(crate) fn stored<T>(name: &'static str, value: &T) -> Sample
    where
        T: Serialize + DeserializeOwned + Debug + 'static,
    {
        let data = StoreValue::serialized(value).expect("a record serializes");
        Sample::read_by(name, wire::encode(&data), value, |bytes| {
            wire::decode::<StoreValue>(bytes).ok()?.deserialized::<T>().ok()
        })
    }

    /// A message in JSON.
    pub(crate) fn json<T>(name: &'static str, value: &T) -> Sample
    where
        T: Serialize + DeserializeOwned + Debug + 'static,
    {
        let bytes = serde_json::to_vec(value).expect("a message serializes");
        Sample::read_by(name, bytes, value, |bytes| serde_json::from_slice::<T>(bytes).ok())
    }

    /// Fails unless these bytes are read as the value.
    pub(crate) fn assert_reads(&self, bytes: &[u8]) {
        if let Some((shown, read)) = &self.reading {
            assert_eq!(read(bytes), *shown, "{}", self.name);
        }
    }
}
