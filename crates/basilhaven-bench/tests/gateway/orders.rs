//! Checks that what operators and upstreams write to the store takes effect in time, and that older
//! writes take nothing back.

use std::time::{Duration, Instant};

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::{Mode, Store};
use basilhaven_bench::standin::users::upstream::Upstream;

use crate::fixture::{config, wait_until, Fixture, Host, Network, PROMPT, SERVICE};

/// The time within which an order has to be in force, the default of `--orders-within-s`.
const ORDERS_WITHIN: Duration = Duration::from_secs(2);

/// How long both versions of a move fail, the calls that the old one gets until then, and the time
/// between twenty calls afterwards. After a short fault, or with many calls at once, the calls that
/// the old version serves show that a version which fails all calls is worse before the next check
/// of the move, which is then rolled back without being resumed.
const FAULT_DURATION: Duration = Duration::from_secs(2);
const FAULT_CALLS: usize = 100;
const RECOVERED_INTERVAL: Duration = Duration::from_millis(250);

fn is_served(fixture: &Fixture, id: &str) -> bool {
    fixture.host.call("GET", "/safe/1", id).is_ok_and(|response| response.status == 200)
}

#[test]
fn a_new_configuration_changes_a_route_and_an_older_one_does_not_revert_it() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let other = Upstream::start("i-other", PROMPT);
        fixture.store.put("servers", "i-other", &other.entry("spedizioni", "v1", "ready"));
        fixture.store.put("op", "config", &config(5, "spedizioni"));
        wait_until("the route has changed", || {
            is_served(&fixture, "moved");
            !other.executed_ids().is_empty()
        })
        .await;
        fixture.store.put("op", "config", &config(4, SERVICE));
        fixture.store.put("op", "config", &config(6, "spedizioni"));
        let before = fixture.upstreams[0].executed_ids().len();
        wait_until("version 6 is applied", || {
            fixture.host.process.lines().iter().any(|line| line["version"] == 6)
        })
        .await;
        for number in 0..10 {
            assert!(is_served(&fixture, &format!("id-{number}")));
        }
        assert_eq!(fixture.upstreams[0].executed_ids().len(), before);
    });
}

#[test]
fn a_leaving_or_evacuated_upstream_gets_no_more_calls() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        let [leaving, _] = &fixture.upstreams[..] else { panic!("two upstreams") };
        fixture.store.put("servers", &leaving.id, &leaving.entry(SERVICE, "v1", "draining"));
        wait_until("the entry is applied", || {
            let before = leaving.executed_ids().len();
            // Twenty calls in a row practically never miss one of two equal upstreams by chance.
            (0..20).all(|n| is_served(&fixture, &format!("l-{n}")))
                && leaving.executed_ids().len() == before
        })
        .await;
        let before = leaving.executed_ids().len();
        (0..30).for_each(|n| assert!(is_served(&fixture, &format!("m-{n}"))));
        assert_eq!(leaving.executed_ids().len(), before);
        fixture.store.put("op", "evacuate/a", "{}");
        wait_until("no calls are sent there", || !is_served(&fixture, "evacuated")).await;
        let sent_at = Instant::now();
        let refused = fixture.host.call("POST", "/unsafe/1", "refused").unwrap();
        assert_eq!(refused.status, 503);
        let took = sent_at.elapsed();
        assert!(
            took < Duration::from_millis(200),
            "{took:?} until a call without an upstream was refused"
        );
        fixture.store.remove("op", "evacuate/a");
        wait_until("calls are sent there again", || is_served(&fixture, "back")).await;
    });
}

#[test]
fn a_malformed_entry_removes_its_upstream_and_no_other() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        fixture.store.put("servers", "i-0", "{\"Service\": 7}");
        fixture.store.put("servers", "i-malformed", "\u{1}");
        wait_until("the entry is dropped", || {
            let before = fixture.upstreams[0].executed_ids().len();
            (0..8).all(|n| is_served(&fixture, &format!("u-{n}")))
                && fixture.upstreams[0].executed_ids().len() == before
        })
        .await;
    });
}

#[test]
fn calls_are_served_while_the_store_is_down_and_updates_arrive_after_it() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        fixture.store.set_mode(Mode::Down);
        for number in 0..20 {
            assert!(is_served(&fixture, &format!("id-{number}")));
        }
        fixture.store.set_mode(Mode::Up);
        fixture.store.drop_history();
        fixture.store.put("op", "config", &config(9, SERVICE));
        wait_until("version 9 is applied", || {
            fixture.host.process.lines().iter().any(|line| line["version"] == 9)
        })
        .await;
    });
}

#[test]
fn an_unresponsive_store_is_abandoned_and_used_again_later() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        fixture.store.set_mode(Mode::Unresponsive);
        wait_until("the store is abandoned", || {
            fixture.host.process.event_count("provider_lost") > 0
        })
        .await;
        fixture.store.set_mode(Mode::Up);
        fixture.store.put("op", "config", &config(3, SERVICE));
        wait_until("version 3 is applied", || {
            fixture.host.process.lines().iter().any(|line| line["version"] == 3)
        })
        .await;
    });
}

#[test]
fn a_move_to_a_good_version_completes_and_is_reported() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let new = Upstream::start("i-new", PROMPT);
        fixture.store.put("servers", "i-new", &new.entry(SERVICE, "v2", "ready"));
        let order = serde_json::json!({"Service": SERVICE, "To": "v2", "RampDurationS": 5});
        fixture.store.put("op", &format!("rollout/{SERVICE}"), &order.to_string());
        let report = || fixture.store.get("status", &format!("rollout/{SERVICE}"));
        wait_until("the move has begun", || report().is_some_and(|r| r.contains("running"))).await;
        wait_until("the move is done", || {
            (0..20).for_each(|n| assert!(is_served(&fixture, &format!("m-{n}"))));
            report().is_some_and(|r| r.contains("completed"))
        })
        .await;
        let before = fixture.upstreams[0].executed_ids().len();
        (0..10).for_each(|n| assert!(is_served(&fixture, &format!("a-{n}"))));
        assert_eq!(fixture.upstreams[0].executed_ids().len(), before);
    });
}

#[test]
fn a_move_to_a_bad_version_is_rolled_back_after_few_calls() {
    block_on(async {
        use basilhaven_bench::standin::users::upstream::Behaviour;
        let fixture = Fixture::start(&[PROMPT]).await;
        let new = Upstream::start("i-new", Behaviour::Fails);
        fixture.store.put("servers", "i-new", &new.entry(SERVICE, "v2", "ready"));
        let order = serde_json::json!({"Service": SERVICE, "To": "v2", "RampDurationS": 60});
        fixture.store.put("op", &format!("rollout/{SERVICE}"), &order.to_string());
        let report = || fixture.store.get("status", &format!("rollout/{SERVICE}"));
        wait_until("the move is rolled back", || {
            for number in 0..20 {
                fixture.host.call("POST", "/unsafe/1", &format!("m-{number}")).unwrap();
            }
            report().is_some_and(|r| r.contains("rolled_back"))
        })
        .await;
        assert!(
            new.executed_ids().len() <= 50,
            "{} calls reached the bad version",
            new.executed_ids().len()
        );
        let before = new.executed_ids().len();
        (0..20).for_each(|n| assert!(is_served(&fixture, &format!("a-{n}"))));
        assert_eq!(new.executed_ids().len(), before);
    });
}

// Guards against a bad version that is completed because the old one fails as well for a while.
#[test]
fn a_move_is_suspended_while_both_versions_fail_and_is_judged_afterwards() {
    block_on(async {
        use basilhaven_bench::standin::users::upstream::Behaviour;
        let fixture = Fixture::start(&[Behaviour::FailsEverySecond]).await;
        let [failing] = &fixture.upstreams[..] else { panic!("one upstream") };
        let new = Upstream::start("i-new", Behaviour::Fails);
        fixture.store.put("servers", "i-new", &new.entry(SERVICE, "v2", "ready"));
        let order = serde_json::json!({"Service": SERVICE, "To": "v2", "RampDurationS": 20});
        fixture.store.put("op", &format!("rollout/{SERVICE}"), &order.to_string());
        let report = || fixture.store.get("status", &format!("rollout/{SERVICE}"));
        let send = || {
            for number in 0..20 {
                fixture.host.call("POST", "/unsafe/1", &format!("m-{number}")).unwrap();
            }
        };
        let has_logged = |event: &str| fixture.host.process.event_count(event) > 0;
        wait_until("the move is suspended", || {
            send();
            has_logged("move_suspended")
        })
        .await;
        let (before, suspended) = (new.executed_ids().len(), Instant::now());
        wait_until("the fault has lasted for a while", || {
            send();
            suspended.elapsed() >= FAULT_DURATION && failing.executed_ids().len() >= FAULT_CALLS
        })
        .await;
        assert_eq!(new.executed_ids().len(), before, "calls reach the new version");
        assert!(report().is_some_and(|r| r.contains("running")));
        let sound = Upstream::start("i-sound", PROMPT);
        fixture.store.put("servers", "i-sound", &sound.entry(SERVICE, "v1", "ready"));
        fixture.store.remove("servers", &failing.id);
        wait_until("the move is rolled back", || {
            send();
            std::thread::sleep(RECOVERED_INTERVAL);
            report().is_some_and(|r| r.contains("rolled_back"))
        })
        .await;
        let is_verdict = |line: &serde_json::Value| line["event"] == "version_is_bad";
        let verdict = fixture.host.process.lines().into_iter().find(is_verdict);
        assert!(has_logged("move_resumed"), "{verdict:?}");
        assert!(new.executed_ids().len() <= 50, "{} calls", new.executed_ids().len());
    });
}

#[test]
fn an_upstream_that_is_first_listed_after_it_stopped_gets_no_calls() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let late = Upstream::start("i-late", PROMPT);
        late.set_healthy(false);
        // The store applied this entry late, after the upstream had written that it is leaving.
        fixture.store.put("servers", "i-late", &late.entry(SERVICE, "v1", "ready"));
        wait_until("the entry is read", || fixture.host.process.event_count("upstream_listed") > 1)
            .await;
        let listed = Instant::now();
        let mut number = 0;
        while listed.elapsed() < Duration::from_millis(4000) {
            assert!(is_served(&fixture, &format!("id-{number}")));
            assert_eq!(late.executed_ids(), [""; 0], "after {:?}", listed.elapsed());
            number += 1;
        }
    });
}

#[test]
fn entries_out_of_order_do_not_bring_back_a_leaving_upstream() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        let leaving = &fixture.upstreams[0];
        let written = [
            leaving.entry(SERVICE, "v1", "ready"),
            leaving.entry(SERVICE, "v1", "draining"),
            leaving.entry(SERVICE, "v1", "ready").replace("\"born\":1", "\"born\":0"),
        ];
        let write_row = |number: usize| fixture.store.put("servers", &leaving.id, &written[number]);
        write_row(1);
        wait_until("the host knows that it is leaving", || {
            let before = leaving.executed_ids().len();
            (0..20).all(|n| is_served(&fixture, &format!("l-{n}")))
                && leaving.executed_ids().len() == before
        })
        .await;
        let before = leaving.executed_ids().len();
        // Late and duplicate entries, one of an earlier run, and one after the removal. Reads are
        // 0.6 s apart.
        for step in [Some(0), Some(0), Some(2), None, Some(0), Some(1), Some(2)] {
            match step {
                Some(number) => write_row(number),
                None => fixture.store.remove("servers", &leaving.id),
            }
            let until = Instant::now() + Duration::from_millis(1300);
            while Instant::now() < until {
                is_served(&fixture, "meanwhile");
                assert_eq!(leaving.executed_ids().len(), before, "after {step:?}");
            }
        }
    });
}

// Guards against a held poll whose response is lost, which looks like one without changes.
#[test]
fn a_lost_response_of_the_store_does_not_delay_an_order() {
    block_on(async {
        let store = Store::start();
        store.put("op", "config", &config(1, SERVICE));
        let hosts = Network::new(63, 4).start_cluster(&store).await;
        let has_version = |host: &Host, version: u64| {
            host.process.lines().iter().any(|line| line["version"] == version)
        };
        for version in 2..6 {
            // Both watchers lose the change in every second round, and one of them in the others.
            store.lose_changes("op", 1 + version as usize % 2);
            store.put("op", "config", &config(version, SERVICE));
            let written_at = Instant::now();
            wait_until("the version is in force everywhere", || {
                hosts.iter().all(|host| has_version(host, version))
            })
            .await;
            let took = written_at.elapsed();
            assert!(took < ORDERS_WITHIN, "version {version} was in force after {took:?}");
        }
    });
}
