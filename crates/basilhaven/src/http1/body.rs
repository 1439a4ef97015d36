//! Message bodies, read and written in pieces.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::{Buf as _, Bytes, BytesMut};

use super::{Conn, Error};

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this length in bytes.
    Length(u64),
    /// The body is sent in chunks; an empty chunk ends it.
    Chunked,
    /// The body ends when the connection is closed. Only responses may use this.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a body of this length in bytes.
    ///
    /// # Examples
    ///
    /// ```
    /// use basilhaven::http1::body::Framing;
    ///
    /// assert_eq!(Framing::of_len(0), Framing::Empty);
    /// assert_eq!(Framing::of_len(4), Framing::Length(4));
    /// ```
    pub fn of_len(len: usize) -> Framing {
        match len as u64 {
            0 => Framing::Empty,
            len => Framing::Length(len),
        }
    }
}

/// Maximum length in bytes of a chunk-size line or a trailer line.
const MAX_LINE_LEN: usize = 256;

const LINE_BREAK: &[u8] = b"\r\n";

/// Length in bytes from which a part of a chunk is a piece of its own, and not copied.
const MIN_UNJOINED_LEN: usize = 2048;

/// Maximum total length in bytes of the trailer lines.
const MAX_TRAILER_LEN: usize = 4096;

/// Reads one body from a connection.
#[derive(Debug)]
pub struct Reader {
    state: State,
    /// The lines between chunks decoded since the last read.
    lines: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Within a body of known length, of which this many bytes are unread.
    Length(u64),
    /// Before a chunk-size line.
    ChunkSize,
    /// Within a chunk, of which this many bytes are unread.
    Chunk(u64),
    /// Before the line break that ends a chunk.
    ChunkEnd,
    /// After the last chunk, with `len` bytes of trailer lines read.
    Trailer {
        len: usize,
    },
    UntilClose,
    Done,
}

impl Reader {
    /// Creates a reader for a body that starts at the next unread byte.
    pub fn new(framing: Framing) -> Reader {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(len) => State::Length(len),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Reader { state, lines: 0 }
    }

    /// Returns `true` if the whole body has been read.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns how many bytes of the body are still to come; `None` if that is not known.
    pub fn missing(&self) -> Option<u64> {
        match self.state {
            State::Length(left) => Some(left),
            State::Done => Some(0),
            _ => None,
        }
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the framing is malformed or the connection ends before the body does.
    pub async fn next(&mut self, conn: &mut Conn) -> Result<Option<Bytes>, Error> {
        loop {
            match self.decode(&mut conn.buffer)? {
                Decoded::Piece(piece) => return Ok(Some(piece)),
                Decoded::Done => return Ok(None),
                Decoded::NeedsMore => {}
            }
            conn.count_lines(std::mem::take(&mut self.lines));
            if conn.fill().await? == 0 {
                if self.state != State::UntilClose {
                    return Err(Error::cut_short("body cut short"));
                }
                self.state = State::Done;
            }
        }
    }

    /// Returns the next piece or the end of the body if it is already buffered.
    pub fn buffered(&mut self, conn: &mut Conn) -> Option<Result<Option<Bytes>, Error>> {
        match self.decode(&mut conn.buffer) {
            Ok(Decoded::Piece(piece)) => Some(Ok(Some(piece))),
            Ok(Decoded::Done) => Some(Ok(None)),
            Ok(Decoded::NeedsMore) => None,
            Err(error) => Some(Err(error)),
        }
    }

    /// Decodes the next piece from the buffer, without reading from the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the framing is malformed.
    pub(super) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Decoded, Error> {
        match self.state {
            State::Done => Ok(Decoded::Done),
            _ if buffer.is_empty() => Ok(Decoded::NeedsMore),
            State::UntilClose => Ok(Decoded::Piece(buffer.split().freeze())),
            State::Length(left) => {
                let piece = split_piece(buffer, left);
                self.state = match left - piece.len() as u64 {
                    0 => State::Done,
                    left => State::Length(left),
                };
                Ok(Decoded::Piece(piece))
            }
            _ => self.decode_chunks(buffer),
        }
    }

    /// Decodes a long part of a chunk, or all short chunks in the buffer, which make one piece:
    /// handling a piece costs far more than its bytes if these are few.
    fn decode_chunks(&mut self, buffer: &mut BytesMut) -> Result<Decoded, Error> {
        let mut joined = Vec::new();
        let mut at = 0;
        while self.state != State::Done {
            let rest = &buffer[at..];
            if let State::Chunk(left) = self.state {
                let len = usize::try_from(left).unwrap_or(usize::MAX).min(rest.len());
                if len == 0 || len >= MIN_UNJOINED_LEN && !joined.is_empty() {
                    break;
                }
                self.state = match left - len as u64 {
                    0 => State::ChunkEnd,
                    left => State::Chunk(left),
                };
                if len >= MIN_UNJOINED_LEN {
                    buffer.advance(at);
                    return Ok(Decoded::Piece(buffer.split_to(len).freeze()));
                }
                joined.extend_from_slice(&rest[..len]);
                at += len;
                continue;
            }
            match self.take_line(rest) {
                Ok(0) => break,
                Ok(len) => {
                    at += len;
                    self.lines = self.lines.saturating_add(1);
                }
                // What precedes the malformed line is returned first.
                Err(_) if !joined.is_empty() => break,
                Err(error) => return Err(error),
            }
        }
        buffer.advance(at);
        Ok(match (joined.is_empty(), self.state) {
            (false, _) => Decoded::Piece(joined.into()),
            (true, State::Done) => Decoded::Done,
            (true, _) => Decoded::NeedsMore,
        })
    }

    /// Takes the line at the start of `rest` that delimits chunks or belongs to the trailer; returns
    /// its length, or 0 if it is not complete.
    fn take_line(&mut self, rest: &[u8]) -> Result<usize, Error> {
        let Some(line) = first_line(rest)? else { return Ok(0) };
        self.state = match self.state {
            State::ChunkSize => match parse_chunk_size(line)? {
                0 => State::Trailer { len: 0 },
                size => State::Chunk(size),
            },
            State::Trailer { .. } if line.is_empty() => State::Done,
            State::Trailer { len } if len + line.len() > MAX_TRAILER_LEN => {
                return Err(Error::malformed("trailer too large"));
            }
            State::Trailer { len } => State::Trailer { len: len + line.len() },
            _ if line.is_empty() => State::ChunkSize,
            _ => return Err(Error::malformed("chunk data is longer than its chunk size")),
        };
        Ok(line.len() + LINE_BREAK.len())
    }
}

/// The result of decoding from the buffer.
#[derive(Debug)]
pub(super) enum Decoded {
    /// A piece of the body.
    Piece(Bytes),
    /// The end of the body.
    Done,
    /// The buffer holds too little; more has to be read.
    NeedsMore,
}

fn split_piece(buffer: &mut BytesMut, left: u64) -> Bytes {
    let len = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len());
    buffer.split_to(len).freeze()
}

/// Returns the first line without its line break, if it is complete.
fn first_line(bytes: &[u8]) -> Result<Option<&[u8]>, Error> {
    match bytes.iter().take(MAX_LINE_LEN + 1).position(|&b| b == b'\n') {
        Some(at) => match bytes[..=at].strip_suffix(LINE_BREAK) {
            Some(line) => Ok(Some(line)),
            None => Err(Error::malformed("line feed without carriage return")),
        },
        None if bytes.len() > MAX_LINE_LEN => Err(Error::malformed("line too long")),
        None => Ok(None),
    }
}

/// Parses the size in a chunk-size line. Chunk extensions are ignored.
fn parse_chunk_size(line: &[u8]) -> Result<u64, Error> {
    let end = line.iter().position(|&b| b == b';').unwrap_or(line.len());
    let digits = &line[..end];
    // A u64 holds 16 digits, but valid chunks are nowhere near that size.
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(Error::malformed("chunk size is not a hexadecimal number of 1 to 15 digits"));
    }
    let digits = std::str::from_utf8(digits).map_err(|_| Error::malformed("invalid chunk size"))?;
    u64::from_str_radix(digits, 16).map_err(|_| Error::malformed("invalid chunk size"))
}

/// Lengths of the first and of the longest blocks of a held body.
const FIRST_BLOCK_LEN: usize = 4 * 1024;
const MAX_BLOCK_LEN: usize = 256 * 1024;

/// A whole body in memory, in blocks that are shared and not copied.
///
/// # Examples
///
/// ```
/// use basilhaven::http1::body;
///
/// let mut collector = body::Collector::default();
/// let mut piece = bytes::Bytes::from_static(b"some bytes");
/// collector.add_block(collector.next_block_len(Some(10)));
/// collector.fill(&mut piece);
/// assert!(piece.is_empty());
/// assert_eq!(collector.finish().len(), 10);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Held {
    blocks: Rc<[Bytes]>,
    len: usize,
}

impl Held {
    /// Returns the length of the body in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there is no body.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how the body is framed in a message.
    pub fn framing(&self) -> Framing {
        Framing::of_len(self.len)
    }

    /// Returns the blocks of the body, in order.
    pub fn blocks(&self) -> &[Bytes] {
        &self.blocks
    }
}

/// Collects the pieces of a body in blocks, which grow with the body, so that no byte is copied
/// twice and a short body takes little memory.
#[derive(Debug, Default)]
pub struct Collector {
    full: Vec<Bytes>,
    open: BytesMut,
    /// What is free in the open block.
    spare: usize,
    len: usize,
}

impl Collector {
    /// Returns the bytes collected so far.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing is collected yet.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns whether the open block is full.
    pub fn is_full(&self) -> bool {
        self.spare == 0
    }

    /// Returns the length of the block that is to be added next, if `missing` bytes of the body are
    /// still to come; `None` if that is not known.
    pub fn next_block_len(&self, missing: Option<u64>) -> usize {
        let len = self.len.clamp(FIRST_BLOCK_LEN, MAX_BLOCK_LEN);
        let missing = missing.map_or(usize::MAX, |len| usize::try_from(len).unwrap_or(usize::MAX));
        len.min(missing.max(1))
    }

    /// Adds a block of this length once the open block is full.
    pub fn add_block(&mut self, len: usize) {
        let block = std::mem::replace(&mut self.open, BytesMut::with_capacity(len));
        if !block.is_empty() {
            self.full.push(block.freeze());
        }
        self.spare = len;
    }

    /// Moves as much of a piece into the open block as fits.
    pub fn fill(&mut self, piece: &mut Bytes) {
        let len = piece.len().min(self.spare);
        self.open.extend_from_slice(&piece[..len]);
        piece.advance(len);
        self.spare -= len;
        self.len += len;
    }

    /// Returns the collected body.
    pub fn finish(mut self) -> Held {
        if !self.open.is_empty() {
            self.full.push(self.open.freeze());
        }
        Held { blocks: self.full.into(), len: self.len }
    }
}

/// The part of a message that is still to be written.
#[derive(Debug, Default)]
pub struct Unsent {
    blocks: VecDeque<Bytes>,
}

/// Length up to which a body is written together with its head, which costs a copy and saves a
/// packet.
const MAX_JOINED_LEN: usize = 16 * 1024;

impl Unsent {
    /// Creates a message from its encoded head and its body. The blocks of a long body are shared.
    pub fn new(head: Bytes, body: &Held) -> Unsent {
        if body.is_empty() || body.len() > MAX_JOINED_LEN {
            let blocks = std::iter::once(head).chain(body.blocks().iter().cloned());
            return Unsent { blocks: blocks.collect() };
        }
        let mut message = BytesMut::with_capacity(head.len() + body.len());
        message.extend_from_slice(&head);
        body.blocks().iter().for_each(|block| message.extend_from_slice(block));
        Unsent { blocks: VecDeque::from([message.freeze()]) }
    }

    /// Returns whether everything was written.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Takes the first block, which holds the head.
    pub fn take_first(&mut self) -> Bytes {
        self.blocks.pop_front().unwrap_or_default()
    }

    /// Returns the number of bytes that are still to be written.
    pub fn len(&self) -> usize {
        self.blocks.iter().map(Bytes::len).sum()
    }

    /// Splits off the first `len` bytes, or everything if there is less.
    pub fn split_to(&mut self, len: usize) -> Unsent {
        let mut split = Unsent::default();
        let mut missing = len;
        while let Some(block) = self.blocks.front_mut().filter(|_| missing > 0) {
            let piece = block.split_to(missing.min(block.len()));
            missing -= piece.len();
            split.blocks.push_back(piece);
            if block.is_empty() {
                self.blocks.pop_front();
            }
        }
        split
    }

    /// Puts bytes that were split off before the others.
    pub fn prepend(&mut self, split: Unsent) {
        split.blocks.into_iter().rev().for_each(|block| self.blocks.push_front(block));
    }

    pub(super) fn first_mut(&mut self) -> Option<&mut Bytes> {
        self.blocks.front_mut()
    }

    pub(super) fn remove_first(&mut self) {
        self.blocks.pop_front();
    }
}

/// Encodes one piece of a body under `framing`. An empty piece is not encoded as a chunk, since an
/// empty chunk ends the body.
pub fn encode_piece(framing: Framing, piece: Bytes) -> Bytes {
    match framing {
        Framing::Chunked if !piece.is_empty() => {
            let mut out = Vec::with_capacity(piece.len() + 20);
            out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
            out.extend_from_slice(&piece);
            out.extend_from_slice(b"\r\n");
            Bytes::from(out)
        }
        _ => piece,
    }
}

/// Encodes the end of a body under `framing`.
pub fn encode_end(framing: Framing) -> Bytes {
    match framing {
        Framing::Chunked => Bytes::from_static(b"0\r\n\r\n"),
        _ => Bytes::new(),
    }
}
