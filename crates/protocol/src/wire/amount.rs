//! Deserialization of amounts.

use serde::{Deserialize, Deserializer};

/// Deserializes an amount. Amounts are decimals on the wire, but integers are accepted for whole amounts.
pub(super) fn amount<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    struct AmountVisitor;
    impl serde::de::Visitor<'_> for AmountVisitor {
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
    from.deserialize_any(AmountVisitor)
}

/// Deserializes an optional amount.
pub(super) fn optional_amount<'de, D: Deserializer<'de>>(from: D) -> Result<Option<f64>, D::Error> {
    #[derive(Deserialize)]
    struct Value(#[serde(deserialize_with = "amount")] f64);
    Ok(Option::<Value>::deserialize(from)?.map(|value| value.0))
}
