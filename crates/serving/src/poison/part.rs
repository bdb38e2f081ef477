//! The parts that a request's prompt may share with others.

use std::fmt;

/// Maximum number of parts of a prompt.
pub const MAX_PARTS: usize = 64;

/// Identifies one part of prompts, in whichever request it occurs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u128);

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl fmt::Debug for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Why the parts of a prompt are not known although the request names some.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidParts {
    /// A part has no id and number of tokens, separated by a colon.
    NoColon,
    /// The id of a part is not a hexadecimal number of at most 32 digits.
    InvalidId,
    /// The number of tokens of a part is not a decimal number.
    InvalidTokens,
    /// The prompt has more than [`MAX_PARTS`] parts.
    TooMany,
}

impl fmt::Display for InvalidParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoColon => "a part has no colon between its id and its number of tokens",
            Self::InvalidId => "the id of a part is not a hexadecimal number of at most 32 digits",
            Self::InvalidTokens => "the number of tokens of a part is not a decimal number",
            Self::TooMany => "the prompt has too many parts",
        })
    }
}
