use std::{fmt, io};

/// The category of an [`Error`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The peer sent something that is not HTTP/1.1 or is ambiguous.
    Malformed,
    /// A head is larger than the limit.
    HeadTooLarge,
    /// The connection ended within a message.
    CutShort,
    /// The connection failed.
    Io,
}

/// An error on a connection. The connection must be closed and not reused.
#[derive(Debug)]
pub struct Error {
    category: Category,
    detail: Detail,
}

#[derive(Debug)]
enum Detail {
    Text(&'static str),
    Io(io::Error),
}

impl Error {
    /// Returns the category of the error.
    pub fn category(&self) -> Category {
        self.category
    }

    #[cold]
    pub(crate) fn malformed(detail: &'static str) -> Error {
        Error { category: Category::Malformed, detail: Detail::Text(detail) }
    }

    #[cold]
    pub(crate) fn head_too_large() -> Error {
        Error { category: Category::HeadTooLarge, detail: Detail::Text("head too large") }
    }

    #[cold]
    pub(crate) fn cut_short(detail: &'static str) -> Error {
        Error { category: Category::CutShort, detail: Detail::Text(detail) }
    }
}

impl From<io::Error> for Error {
    #[cold]
    fn from(error: io::Error) -> Error {
        Error { category: Category::Io, detail: Detail::Io(error) }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.detail {
            Detail::Text(text) => f.write_str(text),
            Detail::Io(error) => write!(f, "{error}"),
        }
    }
}

impl std::error::Error for Error {}
