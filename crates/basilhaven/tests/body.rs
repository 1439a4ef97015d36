//! Bodies over connections: they are read as they were sent, and hostile framing never yields other
//! bytes.

use std::cell::RefCell;
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::task::Poll;
use std::time::Duration;

use basilhaven::http1::{body, head, Conn};
use bytes::Bytes;
use futures_util::future;
use http::header::{self, HeaderMap, HeaderValue};
use monoio::net::TcpListener;
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Time limit of one case; only a hang reaches it.
const CASE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum length of a request head in bytes.
const MAX_HEAD_LEN: usize = 16 * 1024;

/// Runs a sender and a reader on both ends of a connection, and returns the reader's result.
fn over_connection<S, SF, R, RF>(send: S, read: R) -> RF::Output
where
    S: FnOnce(Conn) -> SF,
    SF: Future<Output = ()>,
    R: FnOnce(Conn) -> RF,
    RF: Future,
{
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    builder.enable_timer().build().unwrap().block_on(async {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let address = listener.local_addr().unwrap();
        let (opened, accepted) =
            future::join(Conn::open(address, CASE_TIMEOUT), listener.accept()).await;
        let reader = Conn::new(accepted.unwrap().0).unwrap();
        let both = future::join(send(opened.unwrap()), read(reader));
        monoio::time::timeout(CASE_TIMEOUT, both).await.expect("the case did not finish in time").1
    })
}

/// Lets the other tasks run once.
async fn yield_now() {
    let mut yielded = false;
    poll_fn(|context| match std::mem::replace(&mut yielded, true) {
        true => Poll::Ready(()),
        false => {
            context.waker().wake_by_ref();
            Poll::Pending
        }
    })
    .await;
}

/// Sends bytes in several writes, split at `cuts`, and ends the connection.
async fn send_in_parts(mut conn: Conn, bytes: Bytes, cuts: Vec<usize>) {
    let mut left = bytes;
    for cut in cuts {
        let part = left.split_to(cut % (left.len() + 1));
        // A reader that has found an error closes its side.
        let _ = conn.write(part).await;
        yield_now().await;
    }
    let _ = conn.write(left).await;
}

/// The result of a reader: the body as far as it was read, and the bytes that follow its end, if it
/// has reached the end.
#[derive(Debug, PartialEq, Eq)]
struct Decoded {
    body: Vec<u8>,
    rest: Option<Vec<u8>>,
}

async fn read_body(mut conn: Conn, framing: body::Framing) -> Decoded {
    let mut reader = body::Reader::new(framing);
    let mut body = Vec::new();
    loop {
        match reader.next(&mut conn).await {
            Ok(Some(piece)) => body.extend_from_slice(&piece),
            Ok(None) => break,
            Err(_) => return Decoded { body, rest: None },
        }
    }
    assert!(reader.is_done(), "the reader returned the end before it was done");
    Decoded { body, rest: Some(read_rest(&mut conn).await) }
}

async fn read_rest(conn: &mut Conn) -> Vec<u8> {
    let mut reader = body::Reader::new(body::Framing::UntilClose);
    let mut rest = Vec::new();
    while let Some(piece) = reader.next(conn).await.expect("the connection ends cleanly") {
        rest.extend_from_slice(&piece);
    }
    rest
}

/// Sends bytes in several writes, and reads a body from them.
fn read_sent(bytes: &[u8], cuts: Vec<usize>, framing: body::Framing) -> Decoded {
    let bytes = Bytes::copy_from_slice(bytes);
    over_connection(|conn| send_in_parts(conn, bytes, cuts), |conn| read_body(conn, framing))
}

/// A second implementation of the framing rules, over bytes that are completely available.
mod oracle {
    use super::Decoded;

    const MAX_LINE_LEN: usize = 255;
    const MAX_TRAILER_LEN: usize = 4096;

    pub(super) fn length(bytes: &[u8], length: usize) -> Decoded {
        match bytes.split_at_checked(length) {
            Some((body, rest)) => Decoded { body: body.to_vec(), rest: Some(rest.to_vec()) },
            None => Decoded { body: bytes.to_vec(), rest: None },
        }
    }

    pub(super) fn chunked(bytes: &[u8]) -> Decoded {
        let mut body = Vec::new();
        let rest = chunks(bytes, &mut body).map(<[u8]>::to_vec);
        Decoded { body, rest }
    }

    fn chunks<'a>(mut bytes: &'a [u8], body: &mut Vec<u8>) -> Option<&'a [u8]> {
        loop {
            let (first, rest) = line(bytes)?;
            let size = size(first)?;
            if size == 0 {
                return trailers(rest);
            }
            let available = size.min(rest.len() as u64) as usize;
            body.extend_from_slice(&rest[..available]);
            bytes = line(&rest[available..]).filter(|(end, _)| end.is_empty())?.1;
        }
    }

    fn trailers(mut bytes: &[u8]) -> Option<&[u8]> {
        let mut total = 0;
        loop {
            let (trailer, rest) = line(bytes)?;
            if trailer.is_empty() {
                return Some(rest);
            }
            total += trailer.len();
            if total > MAX_TRAILER_LEN {
                return None;
            }
            bytes = rest;
        }
    }

    fn line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
        let end = bytes.iter().position(|&b| b == b'\n')?;
        let line = bytes[..end].strip_suffix(b"\r")?;
        (line.len() <= MAX_LINE_LEN).then_some((line, &bytes[end + 1..]))
    }

    fn size(line: &[u8]) -> Option<u64> {
        let digits = line.split(|&b| b == b';').next()?;
        let is_size = (1..=15).contains(&digits.len()) && digits.iter().all(u8::is_ascii_hexdigit);
        let digit = |&b: &u8| u64::from((b as char).to_digit(16).unwrap_or_default());
        is_size.then(|| digits.iter().map(digit).fold(0, |size, digit| size * 16 + digit))
    }
}

/// A body in pieces, some of which are larger than a read.
#[derive(Debug, Clone)]
struct Pieces(Vec<Vec<u8>>);

impl Pieces {
    fn whole(&self) -> Vec<u8> {
        self.0.concat()
    }

    fn framing(&self, is_chunked: bool) -> body::Framing {
        match is_chunked {
            true => body::Framing::Chunked,
            false => body::Framing::Length(self.whole().len() as u64),
        }
    }

    fn encode(&self, framing: body::Framing) -> Vec<u8> {
        let mut bytes = Vec::new();
        for piece in &self.0 {
            let piece = Bytes::copy_from_slice(piece);
            bytes.extend_from_slice(&body::encode_piece(framing, piece));
        }
        bytes.extend_from_slice(&body::encode_end(framing));
        bytes
    }
}

impl Arbitrary for Pieces {
    fn arbitrary(g: &mut Gen) -> Pieces {
        let mut pieces: Vec<Vec<u8>> = Vec::new();
        for _ in 0..usize::arbitrary(g) % 6 {
            let times = *g.choose(&[1, 1, 1, 1, 700]).expect("the choices are not empty");
            pieces.push(Vec::<u8>::arbitrary(g).repeat(times));
        }
        Pieces(pieces)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Pieces>> {
        Box::new(self.0.shrink().map(Pieces))
    }
}

#[test]
fn a_body_is_read_back_completely_however_it_is_segmented() {
    fn holds(pieces: Pieces, is_chunked: bool, cuts: Vec<usize>, rest: Vec<u8>) -> bool {
        let framing = pieces.framing(is_chunked);
        let bytes = [pieces.encode(framing), rest.clone()].concat();
        read_sent(&bytes, cuts, framing) == Decoded { body: pieces.whole(), rest: Some(rest) }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 13))
        .tests(500)
        .quickcheck(holds as fn(Pieces, bool, Vec<usize>, Vec<u8>) -> bool);
}

#[test]
fn a_truncated_body_is_never_accepted_as_complete() {
    fn holds(pieces: Pieces, is_chunked: bool, cuts: Vec<usize>, sent_len: usize) -> bool {
        let framing = pieces.framing(is_chunked);
        let bytes = pieces.encode(framing);
        if bytes.is_empty() {
            return true;
        }
        let found = read_sent(&bytes[..sent_len % bytes.len()], cuts, framing);
        found.rest.is_none() && pieces.whole().starts_with(&found.body)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 14))
        .tests(500)
        .quickcheck(holds as fn(Pieces, bool, Vec<usize>, usize) -> bool);
}

#[test]
fn a_body_that_ends_with_its_connection_is_incomplete_after_a_reset() {
    fn holds(body: Vec<u8>) -> bool {
        let send = |mut conn: Conn| async move {
            conn.write(Bytes::from(body)).await.expect("the reader is connected");
            conn.reset_on_close();
        };
        over_connection(send, |conn| read_body(conn, body::Framing::UntilClose)).rest.is_none()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 15))
        .tests(100)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

/// Parts of hostile bodies: valid ones, and ones that parsers may interpret differently.
const PARTS: [&str; 30] = [
    "5\r\nhello\r\n",
    "0\r\n\r\n",
    "0\r\n",
    "0",
    "00",
    "5",
    "A\r\n0123456789\r\n",
    "a;name=value\r\n0123456789\r\n",
    "5;\r\nhello\r\n",
    "5 \r\nhello\r\n",
    " 5\r\nhello\r\n",
    "+5\r\nhello\r\n",
    "-5\r\nhello\r\n",
    "0x5\r\nhello\r\n",
    "5\nhello\n",
    "5\r\nhello",
    "4\r\nhello\r\n",
    "6\r\nhello\r\n",
    "000000000000005\r\nhello\r\n",
    "0000000000000005\r\nhello\r\n",
    "fffffffffffffff\r\nhello\r\n",
    "ffffffffffffffff\r\nhello\r\n",
    "10000000000000005\r\nhello\r\n",
    "\r\n",
    "\n",
    "\r",
    "\0",
    "x: y\r\n",
    "content-length: 3\r\n",
    "GET / HTTP/1.1\r\nhost: s\r\n\r\n",
];

/// A body of random parts.
#[derive(Debug, Clone)]
struct Hostile(Vec<u8>);

impl Arbitrary for Hostile {
    fn arbitrary(g: &mut Gen) -> Hostile {
        let mut bytes = Vec::new();
        for _ in 0..usize::arbitrary(g) % 8 {
            match u8::arbitrary(g) % 16 {
                0 => bytes.extend(b"x".repeat(250 + usize::arbitrary(g) % 10)),
                1 => bytes.extend(b"trailer: 0123456789\r\n".repeat(usize::arbitrary(g) % 300)),
                _ => bytes
                    .extend_from_slice(g.choose(&PARTS).expect("PARTS is not empty").as_bytes()),
            }
        }
        Hostile(bytes)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Hostile>> {
        Box::new(self.0.shrink().map(Hostile))
    }
}

#[test]
fn hostile_chunks_are_rejected_or_decoded_unambiguously() {
    fn holds(hostile: Hostile, cuts: Vec<usize>) -> bool {
        read_sent(&hostile.0, cuts, body::Framing::Chunked) == oracle::chunked(&hostile.0)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 16))
        .tests(3_000)
        .quickcheck(holds as fn(Hostile, Vec<usize>) -> bool);
}

/// A change of one byte of a chunked body.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Changed(u8),
    Added(u8),
    Removed,
}

impl Arbitrary for Fault {
    fn arbitrary(g: &mut Gen) -> Fault {
        let byte =
            *g.choose(b"\r\n0123456789abcdefABCDEF;: x\0\xff").expect("the choices are not empty");
        *g.choose(&[Fault::Changed(byte), Fault::Added(byte), Fault::Removed])
            .expect("the choices are not empty")
    }
}

#[test]
fn two_decoders_agree_on_a_body_with_one_wrong_byte() {
    fn holds(pieces: Pieces, fault: Fault, at: usize, cuts: Vec<usize>) -> bool {
        let mut bytes = pieces.encode(body::Framing::Chunked);
        let at = at % bytes.len();
        match fault {
            Fault::Changed(byte) => bytes[at] = byte,
            Fault::Added(byte) => bytes.insert(at, byte),
            Fault::Removed => _ = bytes.remove(at),
        }
        bytes.extend_from_slice(b"GET /behind HTTP/1.1\r\nhost: s\r\n\r\n");
        read_sent(&bytes, cuts, body::Framing::Chunked) == oracle::chunked(&bytes)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 17))
        .tests(3_000)
        .quickcheck(holds as fn(Pieces, Fault, usize, Vec<usize>) -> bool);
}

#[test]
fn a_wrong_length_never_yields_bytes_that_were_not_sent() {
    fn holds(bytes: Vec<u8>, length: usize, cuts: Vec<usize>) -> bool {
        let length = length % (2 * bytes.len() + 1);
        let framing = body::Framing::Length(length as u64);
        read_sent(&bytes, cuts, framing) == oracle::length(&bytes, length)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 18))
        .tests(500)
        .quickcheck(holds as fn(Vec<u8>, usize, Vec<usize>) -> bool);
}

/// A request as it is sent.
#[derive(Debug, Clone)]
struct Sent {
    pieces: Pieces,
    is_chunked: bool,
}

impl Sent {
    fn encode(&self, number: usize) -> Vec<u8> {
        let uri = format!("/{number}").parse().expect("a valid path");
        let mut headers = HeaderMap::new();
        headers.insert(header::HOST, HeaderValue::from_static("s"));
        let framing = self.pieces.framing(self.is_chunked);
        let head = head::encode_request(&http::Method::POST, &uri, &headers, framing);
        [&head[..], &self.pieces.encode(framing)].concat()
    }
}

impl Arbitrary for Sent {
    fn arbitrary(g: &mut Gen) -> Sent {
        Sent { pieces: Pieces::arbitrary(g), is_chunked: bool::arbitrary(g) }
    }
}

/// Whether a connection ended between two requests or within one.
#[derive(Debug, PartialEq, Eq)]
enum End {
    Between,
    Within,
}

/// Reads requests until the connection ends, and records the path and body of each.
async fn read_requests(
    mut conn: Conn,
    requests: &RefCell<Vec<(String, Vec<u8>)>>,
) -> Result<(), basilhaven::http1::Error> {
    while let Some(request) = conn.read_request(MAX_HEAD_LEN).await? {
        let mut reader = body::Reader::new(request.framing);
        let mut body = Vec::new();
        while let Some(piece) = reader.next(&mut conn).await? {
            body.extend_from_slice(&piece);
        }
        requests.borrow_mut().push((request.parts.uri.path().to_owned(), body));
    }
    Ok(())
}

#[test]
fn pipelined_requests_are_separated_wherever_the_connection_ends() {
    fn holds(sent: Vec<Sent>, cuts: Vec<usize>, sent_len: usize) -> bool {
        let encoded: Vec<Vec<u8>> = sent.iter().enumerate().map(|(i, s)| s.encode(i)).collect();
        let bytes = encoded.concat();
        let sent_len = sent_len % (bytes.len() + 1);
        let mut complete = Vec::new();
        let mut end = 0;
        for (i, (sent, encoded)) in sent.iter().zip(&encoded).enumerate() {
            if end + encoded.len() > sent_len {
                break;
            }
            end += encoded.len();
            complete.push((format!("/{i}"), sent.pieces.whole()));
        }
        let expected = if end == sent_len { End::Between } else { End::Within };
        let bytes = Bytes::copy_from_slice(&bytes[..sent_len]);
        let requests = RefCell::default();
        let result = over_connection(
            |conn| send_in_parts(conn, bytes, cuts),
            |conn| read_requests(conn, &requests),
        );
        let ended = if result.is_ok() { End::Between } else { End::Within };
        ended == expected && requests.into_inner() == complete
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 19))
        .tests(500)
        .quickcheck(holds as fn(Vec<Sent>, Vec<usize>, usize) -> bool);
}
