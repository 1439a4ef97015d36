//! Decoding of heads, valid and hostile.

use basilhaven::http1::{body, head, Category};
use bytes::BytesMut;
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn request(text: &str) -> Result<Option<head::Request>, Category> {
    let mut buffer = BytesMut::from(text.as_bytes());
    head::decode_request(&mut buffer, 1024).map_err(|error| error.category())
}

#[test]
fn a_head_is_decoded_once_it_is_complete() {
    let text = "POST /a?b=c HTTP/1.1\r\nhost: s\r\ncontent-length: 5\r\n\r\n";
    for end in 0..text.len() {
        assert!(request(&text[..end]).unwrap().is_none(), "complete after {end} bytes");
    }
    let request = request(text).unwrap().unwrap();
    assert_eq!(request.parts.uri, "/a?b=c");
    assert_eq!(request.framing, body::Framing::Length(5));
}

#[test]
fn ambiguous_framing_is_rejected() {
    let cases = [
        "content-length: 3\r\ntransfer-encoding: chunked",
        "content-length: 3\r\ncontent-length: 3",
        "content-length: +3",
        "content-length: 3, 3",
        "content-length: ",
        "transfer-encoding: chunked, chunked",
        "transfer-encoding: gzip, chunked",
        "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
        "transfer-encoding : chunked",
        "host: other",
    ];
    for case in cases {
        let text = format!("POST / HTTP/1.1\r\nhost: s\r\n{case}\r\n\r\n");
        assert_eq!(request(&text).unwrap_err(), Category::Malformed, "{case:?}");
    }
}

#[test]
fn an_oversized_head_is_rejected_before_it_is_complete() {
    let text = format!("GET / HTTP/1.1\r\nhost: s\r\nx: {}", "y".repeat(2000));
    assert_eq!(request(&text).unwrap_err(), Category::HeadTooLarge);
}

#[test]
fn responses_that_cannot_have_a_body_are_empty() {
    let heads = [
        (http::Method::HEAD, "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n"),
        (http::Method::GET, "HTTP/1.1 204 No Content\r\n\r\n"),
        (http::Method::GET, "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n"),
    ];
    for (method, text) in heads {
        let mut buffer = BytesMut::from(text.as_bytes());
        let response = head::decode_response(&mut buffer, &method, 1024).unwrap().unwrap();
        assert_eq!(response.framing, body::Framing::Empty, "{text:?}");
    }
}

#[test]
fn a_response_without_a_length_ends_with_its_connection() {
    let mut buffer = BytesMut::from(&b"HTTP/1.1 200 OK\r\n\r\n"[..]);
    let response = head::decode_response(&mut buffer, &http::Method::GET, 1024).unwrap().unwrap();
    assert_eq!(response.framing, body::Framing::UntilClose);
}

#[test]
fn hop_by_hop_fields_are_removed_but_never_the_framing() {
    let text = "GET / HTTP/1.1\r\nhost: s\r\nconnection: x-own, content-length, host\r\n\
                x-own: 1\r\nkeep-alive: 5\r\nte: trailers\r\naccept: */*\r\n\r\n";
    let mut headers = request(text).unwrap().unwrap().parts.headers;
    head::remove_hop_by_hop(&mut headers);
    let mut left: Vec<&str> = headers.keys().map(|name| name.as_str()).collect();
    left.sort();
    assert_eq!(left, ["accept", "host"]);
}

/// Pieces of hostile heads: valid ones, and ones that parsers may interpret differently.
const PIECES: [&str; 24] = [
    "GET ",
    "POST ",
    "/",
    "http://other/",
    " HTTP/1.1",
    " HTTP/1.0",
    "\r\n",
    "\n",
    "\r",
    "\0",
    "host: s\r\n",
    "content-length: 5\r\n",
    "content-length: -5\r\n",
    "Content-Length: 6\r\n",
    "content-length : 5\r\n",
    "transfer-encoding: chunked\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "transfer-encoding:\tchunked\r\n",
    "connection: content-length\r\n",
    "x: 1\r\n",
    "x: 1\r\n folded\r\n",
    "x\r\n",
    ": 1\r\n",
    "\u{e9}: 1\r\n",
];

/// A head of random pieces.
#[derive(Debug, Clone)]
struct Hostile(String);

impl Arbitrary for Hostile {
    fn arbitrary(g: &mut Gen) -> Hostile {
        let start = if bool::arbitrary(g) { "POST / HTTP/1.1\r\nhost: s\r\n" } else { "" };
        let mut text = start.to_owned();
        for _ in 0..usize::arbitrary(g) % 8 {
            text.push_str(g.choose(&PIECES).expect("PIECES is not empty"));
        }
        if bool::arbitrary(g) {
            text.push_str("\r\n");
        }
        Hostile(text)
    }
}

/// An accepted head has a single framing, and decodes to the same head after it was forwarded.
fn an_accepted_head_decodes_to_the_same_after_forwarding(hostile: Hostile) -> bool {
    let mut buffer = BytesMut::from(hostile.0.as_bytes());
    let Ok(Some(request)) = head::decode_request(&mut buffer, 1024) else { return true };
    let lengths = request.parts.headers.get_all("content-length").iter().count();
    let codings = request.parts.headers.get_all("transfer-encoding").iter().count();
    if lengths + codings > 1 {
        return false;
    }
    let mut headers = request.parts.headers.clone();
    head::remove_hop_by_hop(&mut headers);
    let framing = request.framing;
    if !headers.contains_key("host") {
        return request.parts.version == http::Version::HTTP_10;
    }
    let encoded =
        head::encode_request(&request.parts.method, &request.parts.uri, &headers, framing);
    let mut buffer = BytesMut::from(&encoded[..]);
    let again =
        head::decode_request(&mut buffer, 4096).expect("a head encoded by this crate is valid");
    let again = again.expect("the head is complete");
    buffer.is_empty() && again.framing == framing && again.parts.method == request.parts.method
}

#[test]
fn hostile_heads_are_rejected_or_decoded_unambiguously() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 11))
        .tests(50_000)
        .quickcheck(an_accepted_head_decodes_to_the_same_after_forwarding as fn(Hostile) -> bool);
}

#[test]
fn random_bytes_never_make_a_decoder_panic() {
    fn decode(bytes: Vec<u8>) -> bool {
        let mut request = BytesMut::from(&bytes[..]);
        let mut response = BytesMut::from(&[b"HTTP/1.1 200 OK\r\n", &bytes[..]].concat()[..]);
        let _ = head::decode_request(&mut request, 256);
        let _ = head::decode_response(&mut response, &http::Method::GET, 256);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 12))
        .tests(20_000)
        .quickcheck(decode as fn(Vec<u8>) -> bool);
}

/// A caller got a status that HTTP does not define, such as 000 or 600, as the response to its call.
#[test]
fn a_status_outside_of_the_protocol_is_not_a_response() {
    for status in ["000", "001", "099", "600", "999", "0", "20", "2000", "-01", "2x0", ""] {
        let text = format!("HTTP/1.1 {status} Trouble\r\ncontent-length: 0\r\n\r\n");
        let mut buffer = BytesMut::from(text.as_bytes());
        let response = head::decode_response(&mut buffer, &http::Method::GET, 1024);
        let category = response.map(|response| response.map(|r| r.parts.status));
        assert_eq!(category.unwrap_err().category(), Category::Malformed, "{status:?}");
    }
    for status in ["100", "200", "599"] {
        let text = format!("HTTP/1.1 {status} \r\ncontent-length: 0\r\n\r\n");
        let mut buffer = BytesMut::from(text.as_bytes());
        let response = head::decode_response(&mut buffer, &http::Method::GET, 1024);
        assert_eq!(response.unwrap().unwrap().parts.status.as_str(), status);
    }
}
