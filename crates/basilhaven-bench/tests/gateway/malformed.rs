//! Checks that malformed rows, load reports and messages between hosts crash no process and leave
//! valid ones in force.

use std::collections::BTreeSet;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use basilhaven::gateway::cluster::datagram::Frame;
use basilhaven::gateway::cluster::{Members, Record, State};
use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::upstream::Upstream;

use crate::fixture::{config, wait_until, Fixture, Host, PROMPT, SERVICE};

/// How many of the [`extreme_entries`] are accepted: those with an IPv6 address and with a long name.
const ACCEPTED: usize = 2;

/// Entries of an upstream with extreme, invalid or missing values.
fn extreme_entries(entry: &str) -> Vec<String> {
    let change = |field: &str, value: serde_json::Value| {
        let mut changed: serde_json::Value = serde_json::from_str(entry).expect("an entry");
        changed[field] = value;
        changed.to_string()
    };
    vec![
        change("ColdRemainingS", 1e19.into()),
        change("ColdRemainingS", f64::MAX.into()),
        change("ColdRemainingS", (-1).into()),
        change("ColdRemainingS", "3".into()),
        change("Slots", 0.into()),
        change("Slots", u32::MAX.into()),
        change("Slots", u64::MAX.into()),
        change("Seq", u64::MAX.into()),
        change("Seq", 1.5.into()),
        change("born", u64::MAX.into()),
        change("Address", "nowhere".into()),
        change("Address", "127.0.0.1:0".into()),
        change("Address", "127.0.0.1:70000".into()),
        change("Address", "[::1]:1".into()),
        change("State", "gone".into()),
        change("Service", "x".repeat(60_000).into()),
        "[".repeat(60_000),
        String::new(),
        "{}".to_owned(),
        entry[..entry.len() / 2].to_owned(),
    ]
}

/// Waits until an upstream that registers now is listed.
async fn wait_for_listing(fixture: &Fixture, id: &str) {
    let later = Upstream::start(id, PROMPT);
    fixture.store.put("servers", id, &later.entry(SERVICE, "v1", "ready"));
    wait_until("the upstream is listed", || {
        let lines = fixture.host.process.lines();
        lines.iter().any(|line| line["event"] == "upstream_listed" && line["upstream"] == id)
    })
    .await;
}

// Guards against one row of another writer that stops the list for every host that reads it.
#[test]
fn a_row_that_cannot_be_read_costs_no_other_row() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let nested = format!("{}{}", "[".repeat(5000), "]".repeat(5000));
        for (number, row) in [
            r#"{"Table":"servers","Key":"i-odd-0","Value":"no base64!","Ver":9}"#.to_owned(),
            r#"{"Table":"servers","Key":"i-odd-1","Value":"e30=","Ver":36893488147419103232}"#
                .to_owned(),
            format!(r#"{{"Table":"servers","Key":"i-odd-2","Value":{nested},"Ver":9}}"#),
            r#"{"Table":"servers","Key":7,"Ver":9}"#.to_owned(),
            "null".to_owned(),
        ]
        .iter()
        .enumerate()
        {
            fixture.store.put_odd_row(row);
            wait_for_listing(&fixture, &format!("i-later-{number}")).await;
        }
        assert_served(&fixture, "after");
        // A host that starts now reads the list as a whole.
        let late = Host::start(&fixture.store, Ipv4Addr::new(127, 0, 65, 1), 0, "").await;
        wait_until("the late host is ready", || late.is_ready()).await;
        assert_eq!(fixture.host.process.event_count("started"), 1);
    });
}

// Guards against entries with values that no upstream can have, which used to name one.
#[test]
fn an_entry_with_impossible_values_names_no_upstream() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let valid: serde_json::Value =
            serde_json::from_str(&fixture.upstreams[0].entry(SERVICE, "v1", "ready")).unwrap();
        let odd: [(&str, serde_json::Value); 7] = [
            ("Slots", 0.into()),
            ("Slots", u32::MAX.into()),
            ("Seq", u64::MAX.into()),
            ("born", u64::MAX.into()),
            ("Address", "127.0.0.1:0".into()),
            ("Address", "0.0.0.0:80".into()),
            ("Address", "127.0.0.1:70000".into()),
        ];
        for (number, (field, value)) in odd.iter().enumerate() {
            let mut entry = valid.clone();
            entry[*field] = value.clone();
            fixture.store.put("servers", &format!("i-odd-{number}"), &entry.to_string());
        }
        wait_for_listing(&fixture, "i-later").await;
        let lines = fixture.host.process.lines();
        let listed = lines.iter().filter(|line| line["event"] == "upstream_listed");
        let listed: Vec<&str> = listed.filter_map(|line| line["upstream"].as_str()).collect();
        assert_eq!(listed, ["i-0", "i-later"]);
        assert_eq!(fixture.host.process.event_count("row_unreadable"), odd.len());
        assert_served(&fixture, "after");
    });
}

fn assert_served(fixture: &Fixture, id: &str) {
    let response = fixture.host.call("GET", "/safe/1", id).expect("the host accepts calls");
    assert_eq!(response.status, 200, "{id}");
}

#[test]
fn malformed_rows_crash_no_process() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let entry = fixture.upstreams[0].entry(SERVICE, "v1", "ready");
        let rows = extreme_entries(&entry);
        for (number, row) in rows.iter().enumerate() {
            fixture.store.put("servers", &format!("i-extreme-{number}"), row);
            fixture.store.put("hosts", &format!("127.0.0.1:{number}"), row);
        }
        wait_until("the rows are read", || {
            let lines = fixture.host.process.lines();
            let extreme = |event: &str, field: &str| {
                let of_event = lines.iter().filter(|line| line["event"] == event);
                let keys = of_event.filter_map(|line| line[field].as_str());
                keys.filter(|key| key.starts_with("i-extreme-")).collect::<BTreeSet<&str>>().len()
            };
            extreme("row_unreadable", "key") == rows.len() - ACCEPTED
                && extreme("upstream_listed", "upstream") == ACCEPTED
        })
        .await;
        // Accepted entries may get calls, which end at once: all but one of these entries have the
        // address of the real upstream.
        for number in 0..rows.len() {
            let path = if number % 2 == 0 { "/safe/1" } else { "/unsafe/1" };
            let method = if number % 2 == 0 { "GET" } else { "POST" };
            let response = fixture.host.call(method, path, &format!("id-{number}"));
            assert!(response.is_ok(), "{response:?} to call {number}");
        }
        for number in 0..rows.len() {
            fixture.store.remove("servers", &format!("i-extreme-{number}"));
        }
        wait_until("valid entries are still in force", || {
            fixture
                .host
                .call("GET", "/safe/1", "after")
                .is_ok_and(|response| response.status == 200)
        })
        .await;
        assert_eq!(fixture.host.process.event_count("started"), 1);
    });
}

#[test]
fn configurations_with_extreme_values_crash_no_process() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        for (version, (field, value)) in [
            ("TimeoutS", "1e19"),
            ("TimeoutS", "1e300"),
            ("TargetLatencyS", "1e19"),
            ("TargetLatencyS", "0"),
            ("MaxAttempts", "0"),
            ("ColdPerS", "-1"),
            ("ColdPerS", "1e300"),
            ("HeaderTimeoutS", "1e19"),
            ("IdleTimeoutS", "1e19"),
            ("MaxConns", "0"),
        ]
        .into_iter()
        .enumerate()
        {
            let valid = config(version as u64 + 2, SERVICE);
            let named = format!("\"{field}\":");
            let mut parts = valid.split(&*named);
            let mut changed = parts.next().unwrap_or_default().to_owned();
            for part in parts {
                let rest = part.find([',', '}']).map_or("", |at| &part[at..]);
                changed.push_str(&format!("\"{field}\":{value}{rest}"));
            }
            fixture.store.put("op", "config", &changed);
            monoio::time::sleep(Duration::from_millis(400)).await;
            for (method, path) in [("GET", "/safe/1"), ("POST", "/unsafe/1")] {
                let response = fixture.host.call(method, path, &format!("{method}-{version}"));
                assert!(response.is_ok(), "{field} {value}: {response:?}");
            }
        }
        fixture.store.put("op", "config", &config(99, SERVICE));
        wait_until("version 99 is applied", || {
            fixture.host.process.lines().iter().any(|line| line["version"] == 99)
        })
        .await;
        assert_served(&fixture, "after");
    });
}

#[test]
fn malformed_load_reports_crash_no_process() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        let loads =
            ["4294967295,4294967295,4294967295,4294967295", "0,0,0,0", "-1,x,,", "0,0,4,100"];
        for (number, load) in loads.into_iter().enumerate() {
            fixture.upstreams[0].set_load(load);
            for call in 0..20 {
                assert_served(&fixture, &format!("id-{number}-{call}"));
            }
        }
    });
}

fn mutate(random: &mut fastrand::Rng, bytes: &mut Vec<u8>) {
    for _ in 0..random.usize(0..4) {
        match random.u8(0..4) {
            0 => bytes.truncate(random.usize(0..=bytes.len())),
            1 => bytes.extend(std::iter::repeat_with(|| random.u8(..)).take(20)),
            2 => bytes.extend_from_within(..),
            _ => {
                let at = random.usize(0..bytes.len().max(1));
                if let Some(byte) = bytes.get_mut(at) {
                    *byte = random.u8(..);
                }
            }
        }
    }
    bytes.truncate(60_000);
}

#[test]
fn malformed_messages_between_hosts_crash_no_process() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let lines = fixture.host.process.lines();
        let started = lines.iter().find(|line| line["event"] == "started").expect("a first line");
        let peer: SocketAddr = started["peer"].as_str().unwrap().parse().unwrap();
        let record = Record {
            peer: "127.0.0.77:7000".parse().unwrap(),
            callers: "127.0.0.77:8000".parse().unwrap(),
            data_centre: "a".into(),
        };
        let other = Members::new(&record, 1, Instant::now());
        other.set_state(State::Starting);
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let mut random = fastrand::Rng::with_seed(31);
        for number in 0..4000 {
            let (heartbeats, _) = other.next_heartbeat(Instant::now());
            let mut bytes =
                postcard::to_stdvec(&Frame::Heartbeats(heartbeats, Vec::new())).unwrap();
            mutate(&mut random, &mut bytes);
            let bytes = if number % 5 == 0 { vec![random.u8(..3); 300] } else { bytes };
            socket.send_to(&bytes, peer).unwrap();
            if number % 20 == 0 {
                let mut stream = TcpStream::connect(peer).unwrap();
                let len = [bytes.len() as u32, u32::MAX, 4 << 20, 0][random.usize(0..4)];
                // The host may have closed the connection already.
                let _ = stream.write_all(&len.to_le_bytes());
                let _ = stream.write_all(&bytes);
            }
            if number % 500 == 0 {
                assert_served(&fixture, &format!("during-{number}"));
            }
        }
        assert_served(&fixture, "after");
        assert!(fixture.host.is_ready());
        let peak = fixture.host.process.peak_bytes();
        assert!(peak < 64 << 20, "{peak} bytes");
    });
}
