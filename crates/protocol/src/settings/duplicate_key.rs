//! Search for duplicate keys in a JSON document. `serde_json` would silently keep the last value.

use std::{collections::HashSet, fmt};

use serde::de;

/// Returns the path of the first key that occurs twice in one object.
pub(super) fn find_duplicate_key(text: &str) -> Option<String> {
    let mut found = None;
    let visitor = KeyVisitor {
        path: String::new(),
        found: &mut found,
    };
    let mut deserializer = serde_json::Deserializer::from_str(text);
    // Invalid JSON is reported when the document is parsed.
    let _ = de::DeserializeSeed::deserialize(visitor, &mut deserializer);
    found
}

/// Visits all values of a document and records the path of the first duplicate key.
struct KeyVisitor<'a> {
    /// Path of the visited value.
    path: String,
    /// Path of the first duplicate key.
    found: &'a mut Option<String>,
}

impl KeyVisitor<'_> {
    /// Returns a visitor for a nested value at the given path.
    fn child(&mut self, path: String) -> KeyVisitor<'_> {
        KeyVisitor {
            path,
            found: self.found,
        }
    }
}

impl<'de> de::DeserializeSeed<'de> for KeyVisitor<'_> {
    type Value = ();

    fn deserialize<D: de::Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> de::Visitor<'de> for KeyVisitor<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("JSON")
    }

    fn visit_map<A: de::MapAccess<'de>>(mut self, mut map: A) -> Result<(), A::Error> {
        let mut seen_keys = HashSet::new();
        while let Some(key) = map.next_key::<String>()? {
            let path = match self.path.is_empty() {
                true => key.clone(),
                false => format!("{}.{key}", self.path),
            };
            if !seen_keys.insert(key) && self.found.is_none() {
                *self.found = Some(path.clone());
            }
            map.next_value_seed(self.child(path))?;
        }
        Ok(())
    }

    fn visit_seq<A: de::SeqAccess<'de>>(mut self, mut items: A) -> Result<(), A::Error> {
        for index in 0.. {
            let path = format!("{}[{index}]", self.path);
            if items.next_element_seed(self.child(path))?.is_none() {
                break;
            }
        }
        Ok(())
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }
}
