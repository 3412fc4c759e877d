//! Search for keys that a JSON document gives twice. The reader would keep the last value without a
//! word.

use std::{collections::HashSet, fmt};

use serde::de;

/// Path and name of the first key that an object has twice.
pub(super) fn find_repeated_key(text: &str) -> Option<String> {
    let mut found = None;
    let walker = KeyWalker {
        path: String::new(),
        found: &mut found,
    };
    let mut reader = serde_json::Deserializer::from_str(text);
    // Text that is no JSON is reported by the reader itself.
    let _ = de::DeserializeSeed::deserialize(walker, &mut reader);
    found
}

struct KeyWalker<'a> {
    path: String,
    found: &'a mut Option<String>,
}

impl KeyWalker<'_> {
    fn below(&mut self, path: String) -> KeyWalker<'_> {
        KeyWalker {
            path,
            found: self.found,
        }
    }
}

impl<'de> de::DeserializeSeed<'de> for KeyWalker<'_> {
    type Value = ();

    fn deserialize<D: de::Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> de::Visitor<'de> for KeyWalker<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("JSON")
    }

    fn visit_map<A: de::MapAccess<'de>>(mut self, mut map: A) -> Result<(), A::Error> {
        let mut seen = HashSet::new();
        while let Some(key) = map.next_key::<String>()? {
            let path = match self.path.is_empty() {
                true => key.clone(),
                false => format!("{}.{key}", self.path),
            };
            if !seen.insert(key) && self.found.is_none() {
                *self.found = Some(path.clone());
            }
            map.next_value_seed(self.below(path))?;
        }
        Ok(())
    }

    fn visit_seq<A: de::SeqAccess<'de>>(mut self, mut items: A) -> Result<(), A::Error> {
        for position in 0.. {
            let path = format!("{}[{position}]", self.path);
            if items.next_element_seed(self.below(path))?.is_none() {
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
