//! Tests of frames and messages: those from hosts that hold the key decode to what was encoded, and
//! all other bytes are refused without a panic.

mod seeded;

use basilhaven::{call, gossip, member, replica, wire};

fn key() -> call::Key {
    call::Key::from("a key that hosts share")
}

fn host(name: &str, incarnation: u64) -> member::Host {
    member::Host {
        name: name.parse().unwrap(),
        incarnation,
        data_centre: "milano-a".parse().unwrap(),
        callers: "127.0.0.1:1".parse().unwrap(),
        admin: "127.0.0.1:2".parse().unwrap(),
        peer: "127.0.0.1:3".parse().unwrap(),
        leaving: false,
        revisions: replica::Revisions::default(),
    }
}

fn frame(number: u32, incarnation: u64) -> wire::Frame {
    let table = member::Table::new(host("entry-1", incarnation));
    wire::Frame::Membership(wire::Membership {
        purpose: wire::Purpose::Probe(number),
        sender: table.own_status(),
        to_refute: Some(incarnation),
        digest: table.digest(),
        updates: vec![gossip::Update::Host(host("entry-2", incarnation), member::Health::Suspect)],
    })
}

seeded::seeded! {
    fn a_frame_round_trips(number: u32, incarnation: u64) -> bool {
        let sent = frame(number, incarnation);
        wire::Frame::decode(&sent.encode(&key()).unwrap(), &key()) == Ok(sent)
    }

    fn arbitrary_bytes_are_refused(bytes: Vec<u8>) -> bool {
        wire::Frame::decode(&bytes, &key()).is_err()
    }

    fn a_changed_byte_is_refused(number: u32, at: usize, bit: u8) -> bool {
        let mut bytes = frame(number, 7).encode(&key()).unwrap();
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        wire::Frame::decode(&bytes, &key()).is_err()
    }

    fn decoding_an_arbitrary_authenticated_body_never_panics(body: Vec<u8>) -> bool {
        let mut bytes = vec![wire::VERSION];
        bytes.extend_from_slice(&body);
        let mac = key().mac(&bytes);
        bytes.extend_from_slice(&mac[..16]);
        let _ = wire::Message::decode(&bytes, &key());
        let _ = wire::Frame::decode(&bytes, &key());
        true
    }
}

#[test]
fn each_fault_has_its_own_error() {
    let bytes = frame(1, 7).encode(&key()).unwrap();
    let decode = |bytes: &[u8]| wire::Frame::decode(bytes, &key()).unwrap_err();
    let mut other_version = bytes.clone();
    other_version[0] = wire::VERSION - 1;
    assert_eq!(decode(&other_version), wire::Error::Version);
    assert_eq!(decode(&bytes[..17]), wire::Error::Length);
    assert_eq!(decode(&vec![wire::VERSION; wire::MAX_FRAME_LEN + 1]), wire::Error::Length);
    let stranger = call::Key::from("another key of the same length");
    assert_eq!(wire::Frame::decode(&bytes, &stranger), Err(wire::Error::Mac));
}

#[test]
fn a_full_queue_of_updates_fits_a_frame() {
    let table = member::Table::new(host("entry-0", 1));
    let longest = "x".repeat(basilhaven::name::MAX_LEN - 4);
    for i in 0..200 {
        table.discover(host(&format!("{longest}{i:03}"), u64::MAX - 1), member::Health::Alive);
    }
    for _ in 0..50 {
        let frame = wire::Frame::Membership(wire::Membership {
            purpose: wire::Purpose::Gossip,
            sender: table.own_status(),
            to_refute: Some(u64::MAX),
            digest: table.digest(),
            updates: table.next_updates(),
        });
        assert!(frame.encode(&key()).is_ok());
    }
}
