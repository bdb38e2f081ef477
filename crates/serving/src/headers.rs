//! Headers as received, in their original order and spelling.

/// One header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name in its original spelling.
    pub name: String,
    /// The value, byte for byte.
    pub value: Vec<u8>,
}

/// The headers of a message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

/// Hop-by-hop headers, which are not forwarded.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Headers {
    /// All values of a header. Names are compared case-insensitively.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = self
            .0
            .iter()
            .filter(move |header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value.as_slice())
    }

    /// The first value of a header, if it is valid UTF-8, without surrounding whitespace.
    pub fn text<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        let value = std::str::from_utf8(self.all(name).next()?).ok()?;
        Some(value.trim())
    }

    /// Whether a header is present.
    pub fn has(&self, name: &str) -> bool {
        self.all(name).next().is_some()
    }

    /// Appends a header.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push(Header {
            name: name.to_owned(),
            value: value.into(),
        });
    }

    /// Whether the `Connection` header contains a token such as `close`.
    pub fn connection_contains(&self, token: &str) -> bool {
        self.all("connection").any(|value| {
            let value = String::from_utf8_lossy(value);
            value
                .split(',')
                .any(|listed| listed.trim().eq_ignore_ascii_case(token))
        })
    }

    /// The end-to-end headers: all but the hop-by-hop headers, those that `Connection` lists, and
    /// the framing.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> {
        self.0.iter().filter(|header| {
            let name = header.name.as_str();
            let listed = CONNECTION_HEADERS
                .iter()
                .any(|known| name.eq_ignore_ascii_case(known));
            !listed
                && !name.eq_ignore_ascii_case("content-length")
                && !self.connection_contains(name)
        })
    }
}
