//! The little of JSON that the bodies of transactions need.

pub enum Value {
    Object(Vec<(String, Value)>),
    List(Vec<Value>),
    Text(String),
    Number(f64),
    /// True, false or null.
    Word,
}

impl Value {
    /// Parses a document; `None` if it is malformed.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let mut parser = Parser { bytes, at: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(members) = self else {
            return None;
        };
        let member = members.iter().find(|(known, _)| known == name);
        member.map(|(_, value)| value)
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(values) => values,
            _ => &[],
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.skip_space();
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        let is_next = self.peek()? == expected;
        self.at += 1;
        is_next.then_some(())
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => {
                let mut members = Vec::new();
                self.take(b'{')?;
                while self.peek()? != b'}' {
                    if !members.is_empty() {
                        self.take(b',')?;
                    }
                    let name = self.string()?;
                    self.take(b':')?;
                    members.push((name, self.value()?));
                }
                self.take(b'}')?;
                Some(Value::Object(members))
            }
            b'[' => {
                let mut values = Vec::new();
                self.take(b'[')?;
                while self.peek()? != b']' {
                    if !values.is_empty() {
                        self.take(b',')?;
                    }
                    values.push(self.value()?);
                }
                self.take(b']')?;
                Some(Value::List(values))
            }
            b'"' => self.string().map(Value::Text),
            b't' | b'f' | b'n' => {
                while self.bytes.get(self.at).is_some_and(u8::is_ascii_alphabetic) {
                    self.at += 1;
                }
                Some(Value::Word)
            }
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Value::Number)
            }
        }
    }

    /// Reads a string. Names, keys and base64 text have no escapes but those of quotes, strokes and
    /// slashes.
    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    bytes.push(*self.bytes.get(self.at)?);
                    self.at += 1;
                }
                byte => bytes.push(byte),
            }
        }
    }
}
