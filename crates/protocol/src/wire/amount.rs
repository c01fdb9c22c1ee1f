//! Amounts on the wire: decimals, though a peer that writes a whole one as an integer is understood.

use serde::{Deserialize, Deserializer};

/// Amounts are decimals on the wire; a peer that writes a whole one as an integer is understood.
pub(super) fn amount<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    struct Amount;
    impl serde::de::Visitor<'_> for Amount {
        type Value = f64;
        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("a number")
        }
        fn visit_f64<E>(self, value: f64) -> Result<f64, E> {
            Ok(value)
        }
        fn visit_u64<E>(self, value: u64) -> Result<f64, E> {
            Ok(value as f64)
        }
        fn visit_i64<E>(self, value: i64) -> Result<f64, E> {
            Ok(value as f64)
        }
    }
    from.deserialize_any(Amount)
}

pub(super) fn no_or_amount<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Given(#[serde(deserialize_with = "amount")] f64);
    Ok(Option::<Given>::deserialize(from)?.map(|some| some.0))
}
