//! Validated names, immutable and cheap to clone.

use std::fmt;
use std::sync::Arc;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Maximum length of a name, in bytes.
pub const MAX_LEN: usize = 64;

/// A name of a host, service, upstream, data centre, profile or caller.
///
/// A name has 1 to [`MAX_LEN`] bytes out of `a-z`, `0-9`, `-`, `_` and `.`, so that it needs no
/// escaping in a header, a path or a log line. Clones share the bytes.
///
/// # Examples
///
/// ```
/// use basilhaven::name;
///
/// let service = name::Name::try_from("catalogo")?;
/// assert_eq!(service.as_str(), "catalogo");
/// assert!(name::Name::try_from("Two Words").is_err());
/// # Ok::<(), basilhaven::name::Error>(())
/// ```
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr)]
pub struct Name(Arc<str>);

/// Reason why a string is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// The string is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The string is longer than [`MAX_LEN`] bytes.
    #[display("a name must have at most {MAX_LEN} bytes")]
    TooLong,
    /// The string contains a character outside the accepted set.
    #[display("a name may contain only a-z, 0-9, '-', '_' and '.'")]
    Character,
}

impl Name {
    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Name {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Self, Error> {
        if raw.is_empty() {
            return Err(Error::Empty);
        }
        if raw.len() > MAX_LEN {
            return Err(Error::TooLong);
        }
        let is_accepted = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
        if !raw.bytes().all(is_accepted) {
            return Err(Error::Character);
        }
        Ok(Name(Arc::from(raw)))
    }
}

impl std::str::FromStr for Name {
    type Err = Error;

    fn from_str(raw: &str) -> Result<Self, Error> {
        Name::try_from(raw)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&*self.0, f)
    }
}

impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl AsRef<str> for Name {
    fn as_ref(&self) -> &str {
        &self.0
    }
}
