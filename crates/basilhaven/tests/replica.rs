//! Tests of replicated rows: they never revert, and the outcome of a change can be read from its
//! row.

mod seeded;

use std::rc::Rc;

use basilhaven::{call, config, moves, order, replica, stamp};

fn document(mark: u64) -> config::Document {
    let mut document = config::Document::default();
    document.out.hosts.insert(format!("mark-{mark}").parse().unwrap());
    document
}

fn content(row: u8, mark: u64) -> replica::Content {
    match row % 3 {
        0 => replica::Content::Config(Rc::new(document(mark))),
        1 => replica::Content::Hosts(Rc::default()),
        _ => replica::Content::Moves(Rc::new(moves::Moves::default())),
    }
}

seeded::seeded! {
    /// Whatever arrives in whatever order, each revision only rises, and the content is that of the
    /// highest revision applied.
    fn rows_never_revert(updates: Vec<(u8, u8)>) -> bool {
        let mut rows = replica::Rows::new(document(0), config::Hosts::default());
        for (row, revision) in updates {
            let before = rows.revisions;
            let content = content(row, revision.into());
            let own = content.row();
            let was_newer = rows.apply(revision.into(), content);
            let expected = before.of(own).max(revision.into());
            let others = replica::Row::ALL.into_iter().filter(|row| *row != own);
            let others_stay = others.into_iter().all(|r| rows.revisions.of(r) == before.of(r));
            let holds = rows.revisions.of(own) == expected
                && was_newer == (expected > before.of(own))
                && *rows.config == document(rows.revisions.config);
            if !holds || !others_stay {
                return false;
            }
        }
        true
    }

    /// A snapshot of a row has the same content on the host that receives it.
    fn snapshots_round_trip(revision: u64, mark: u64) -> bool {
        let mut rows = replica::Rows::new(document(0), config::Hosts::default());
        rows.apply(revision, replica::Content::Config(Rc::new(document(mark))));
        let snapshot = rows.snapshot(replica::Row::Config);
        match replica::Content::try_from(&snapshot) {
            Ok(replica::Content::Config(config)) => config == rows.config,
            _ => false,
        }
    }

    /// A change that was written is found at its own revision as long as the row remembers it; a
    /// change that was not written is never reported as written.
    fn outcomes_match_what_happened(before: u8, followers: u8, written: bool) -> bool {
        let before = u64::from(before);
        let mut history = Vec::new();
        let mut last: Option<(stamp::Stamp, u64)> = None;
        for revision in 1..=before {
            let stamp = stamp::Stamp::after(last.as_ref().map(|(stamp, at)| (stamp, *at)));
            last = Some((stamp, revision));
        }
        let own = stamp::Stamp::after(last.as_ref().map(|(stamp, at)| (stamp, *at)));
        let change = own.change;
        let mut revision = before;
        if written {
            revision += 1;
            last = Some((own, revision));
            history.push(revision);
        }
        for _ in 0..followers {
            revision += 1;
            let stamp = stamp::Stamp::after(last.as_ref().map(|(stamp, at)| (stamp, *at)));
            last = Some((stamp, revision));
        }
        let Some((stamp, revision)) = last else { return true };
        let remembered = usize::from(followers) <= stamp::MAX_PREDECESSORS;
        match stamp.outcome(revision, change, before) {
            stamp::Outcome::Written(at) => written && history == [at],
            stamp::Outcome::Pending => !written && followers == 0,
            stamp::Outcome::NotWritten => !written && followers > 0 && remembered,
            stamp::Outcome::Unknown => usize::from(followers) >= stamp::MAX_PREDECESSORS,
        }
    }

    /// An order is the same after it is serialised and parsed.
    fn orders_round_trip(kind: u8, mark: u64) -> bool {
        let name = format!("n{mark}").parse::<basilhaven::name::Name>().unwrap();
        let target = match mark % 3 {
            0 => order::Target::DataCentre(name.clone()),
            1 => order::Target::Host(name.clone()),
            _ => order::Target::Upstream(name.clone()),
        };
        let order = match kind % 6 {
            0 => order::Order::Out(target),
            1 => order::Order::Back(target),
            2 => order::Order::Replace(Box::new(document(mark))),
            3 => order::Order::SetProfile(name, basilhaven::profile::Profile::default()),
            4 => order::Order::SetService(name, config::Service::default()),
            _ => order::Order::RemoveService(name),
        };
        let text = serde_json::to_vec(&order).unwrap();
        order::Order::try_from(&*text) == Ok(order)
    }
}

#[test]
fn a_malformed_snapshot_is_rejected() {
    let cases: [(replica::Row, &[u8]); 4] = [
        (replica::Row::Config, b"{\"services\": {\"catalogo\": {\"profile\": \"missing\"}}}"),
        (replica::Row::Config, b"\xff\xfe"),
        (replica::Row::Hosts, b"{\"upstreams\": 7}"),
        (replica::Row::Moves, b"[1]"),
    ];
    for (row, json) in cases {
        let snapshot = replica::Snapshot { row, revision: 9, json: json.to_vec() };
        assert!(replica::Content::try_from(&snapshot).is_err(), "{row}");
    }
}

#[test]
fn ids_of_changes_differ() {
    assert_ne!(call::Id::random(), call::Id::random());
}
