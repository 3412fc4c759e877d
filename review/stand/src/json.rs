//! A small JSON reader, for the bodies that the daemons send to the store and to runners.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = reader.value()?;
        Some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(members) => members.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> bool {
        self.skip();
        let found = self.bytes.get(self.at) == Some(&byte);
        self.at += usize::from(found);
        found
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.bytes[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.items(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.digits(),
        }
    }

    fn digits(&mut self) -> Option<Json> {
        let start = self.at;
        let is_digit = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_digit) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.at += 1;
        let mut out = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'u' => {
                            let code = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(code).ok()?, 16).ok()?;
                            let mut buffer = [0; 4];
                            let letter = char::from_u32(code).unwrap_or('?');
                            out.extend_from_slice(letter.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => out.push(other),
                    }
                }
                byte => out.push(byte),
            }
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.at += 1;
        let mut items = Vec::new();
        if self.take(b']') {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']') {
                return Some(Json::List(items));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.at += 1;
        let mut members = BTreeMap::new();
        if self.take(b'}') {
            return Some(Json::Object(members));
        }
        loop {
            self.skip();
            let name = self.string()?;
            if !self.take(b':') {
                return None;
            }
            members.insert(name, self.value()?);
            if self.take(b'}') {
                return Some(Json::Object(members));
            }
            if !self.take(b',') {
                return None;
            }
        }
    }
}

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => out.push(char::from(DIGITS[(word >> (18 - 6 * digit) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}

/// Quotes a text as JSON.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for letter in text.chars() {
        match letter {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            letter if letter < ' ' => out.push_str(&format!("\\u{:04x}", u32::from(letter))),
            letter => out.push(letter),
        }
    }
    out.push('"');
    out
}
