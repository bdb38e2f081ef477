//! A small JSON reader, for the bodies of calls to the store.

/// A JSON value. Numbers are kept as text.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// The member `name` of an object.
    pub fn get(&self, name: &str) -> &Json {
        const NONE: &Json = &Json::Null;
        match self {
            Json::Object(members) => members
                .iter()
                .find(|(key, _)| key == name)
                .map_or(NONE, |(_, value)| value),
            _ => NONE,
        }
    }

    pub fn items(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) | Json::Number(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        self.text().parse().unwrap_or(0)
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

/// Reads one JSON value; `None` if the bytes are not valid.
pub fn parse(bytes: &[u8]) -> Option<Json> {
    Reader { bytes, at: 0 }.value()
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            _ => {
                let start = self.at;
                let is_part = |byte: &u8| !b",]} \n\r\t".contains(byte);
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(match text {
                    "null" => Json::Null,
                    "true" | "false" => Json::Bool,
                    number => Json::Number(number.to_owned()),
                })
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut members = Vec::new();
        while self.peek()? != b'}' {
            let name = self.string()?;
            self.take(b':')?;
            members.push((name, self.value()?));
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.take(b'}')?;
        Some(Json::Object(members))
    }

    fn list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        while self.peek()? != b']' {
            items.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.take(b']')?;
        Some(Json::List(items))
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'u' => {
                            let code = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let code = u32::from_str_radix(std::str::from_utf8(code).ok()?, 16);
                            let letter = char::from_u32(code.ok()?)?;
                            text.extend_from_slice(letter.to_string().as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

/// Encodes bytes as base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0_u32;
        for place in 0..3 {
            number = number << 8 | u32::from(group.get(place).copied().unwrap_or(0));
        }
        for place in 0..4 {
            if place <= group.len() {
                let digit = number >> (18 - 6 * place) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes base64.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0_u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        let digit = match byte {
            b'A'..=b'Z' => byte - b'A',
            b'a'..=b'z' => byte - b'a' + 26,
            b'0'..=b'9' => byte - b'0' + 52,
            b'+' => 62,
            _ => 63,
        };
        number = number << 6 | u32::from(digit);
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits & 255) as u8);
        }
    }
    bytes
}
