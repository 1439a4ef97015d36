//! HTTP/1.1 connections. Heads are decoded by `monoio-http`; bodies are streamed.
//!
//! `monoio-http` keeps a body of fixed length in memory as a whole, reads a body that ends with its
//! connection as empty, and does not limit the size of heads. Therefore only its head decoders are
//! used, behind the checks in [`head`]; [`body`] handles the framing of bodies.

pub mod body;
pub mod client;
pub mod conn;
pub mod head;

mod error;

pub use conn::Conn;
pub use error::{Category, Error};
