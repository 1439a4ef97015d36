//! A small JSON reader and Base64, for the bodies of the store.

use std::collections::BTreeMap;

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<f64> {
        match self {
            Json::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

/// Parses a JSON document.
pub fn parse(text: &str) -> Option<Json> {
    let mut rest = text.as_bytes();
    let value = value(&mut rest)?;
    skip(&mut rest);
    rest.is_empty().then_some(value)
}

fn skip(rest: &mut &[u8]) {
    while rest.first().is_some_and(u8::is_ascii_whitespace) {
        *rest = &rest[1..];
    }
}

fn take(rest: &mut &[u8], byte: u8) -> bool {
    skip(rest);
    let found = rest.first() == Some(&byte);
    if found {
        *rest = &rest[1..];
    }
    found
}

fn value(rest: &mut &[u8]) -> Option<Json> {
    skip(rest);
    match *rest.first()? {
        b'{' => {
            take(rest, b'{');
            let mut fields = BTreeMap::new();
            if take(rest, b'}') {
                return Some(Json::Table(fields));
            }
            loop {
                skip(rest);
                let name = string(rest)?;
                if !take(rest, b':') {
                    return None;
                }
                fields.insert(name, value(rest)?);
                if take(rest, b'}') {
                    return Some(Json::Table(fields));
                }
                if !take(rest, b',') {
                    return None;
                }
            }
        }
        b'[' => {
            take(rest, b'[');
            let mut list = Vec::new();
            if take(rest, b']') {
                return Some(Json::List(list));
            }
            loop {
                list.push(value(rest)?);
                if take(rest, b']') {
                    return Some(Json::List(list));
                }
                if !take(rest, b',') {
                    return None;
                }
            }
        }
        b'"' => Some(Json::Text(string(rest)?)),
        _ => {
            let end = rest.iter().position(|b| b",]} \r\n\t".contains(b)).unwrap_or(rest.len());
            let word = std::str::from_utf8(&rest[..end]).ok()?;
            *rest = &rest[end..];
            match word {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                word => word.parse().ok().map(Json::Number),
            }
        }
    }
}

fn string(rest: &mut &[u8]) -> Option<String> {
    if rest.first() != Some(&b'"') {
        return None;
    }
    let mut bytes = Vec::new();
    let mut at = 1;
    loop {
        match *rest.get(at)? {
            b'"' => break,
            b'\\' => {
                at += 1;
                match *rest.get(at)? {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let digits = std::str::from_utf8(rest.get(at + 1..at + 5)?).ok()?;
                        let code = u32::from_str_radix(digits, 16).ok()?;
                        let mut buffer = [0; 4];
                        let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                        bytes.extend_from_slice(text.as_bytes());
                        at += 4;
                    }
                    byte => bytes.push(byte),
                }
            }
            byte => bytes.push(byte),
        }
        at += 1;
    }
    *rest = &rest[at + 1..];
    String::from_utf8(bytes).ok()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * digit)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0u32, 0);
    for byte in text.bytes().filter(|byte| *byte != b'=') {
        bits = bits << 6 | DIGITS.iter().position(|digit| *digit == byte)? as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    Some(out)
}
