//! What operators and upstreams write to the store is in force in time, and nothing goes back.

use std::time::{Duration, Instant};

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Mode;
use basilhaven_bench::standin::users::upstream::Upstream;

use crate::fixture::{config, wait_until, Fixture, PROMPT, SERVICE};

fn is_served(fixture: &Fixture, id: &str) -> bool {
    fixture.host.call("GET", "/safe/1", id).is_ok_and(|answer| answer.status == 200)
}

#[test]
fn a_new_configuration_moves_a_route_and_an_older_one_does_not_move_it_back() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let other = Upstream::start("i-other", PROMPT);
        fixture.store.put("servers", "i-other", &other.entry("spedizioni", "v1", "ready"));
        fixture.store.put("op", "config", &config(5, "spedizioni"));
        wait_until("the route has moved", || {
            is_served(&fixture, "moved");
            !other.ran().is_empty()
        })
        .await;
        fixture.store.put("op", "config", &config(4, SERVICE));
        fixture.store.put("op", "config", &config(6, "spedizioni"));
        let before = fixture.upstreams[0].ran().len();
        wait_until("version 6 is applied", || {
            fixture.host.process.lines().iter().any(|line| line["version"] == 6)
        })
        .await;
        for number in 0..10 {
            assert!(is_served(&fixture, &format!("id-{number}")));
        }
        assert_eq!(fixture.upstreams[0].ran().len(), before);
    });
}

#[test]
fn an_upstream_that_is_leaving_or_evacuated_gets_nothing_more() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        let [leaving, _] = &fixture.upstreams[..] else { panic!("two upstreams") };
        fixture.store.put("servers", &leaving.id, &leaving.entry(SERVICE, "v1", "draining"));
        wait_until("the entry is applied", || {
            let before = leaving.ran().len();
            // Twenty calls in a row do not miss one of two equal upstreams by chance.
            (0..20).all(|n| is_served(&fixture, &format!("l-{n}"))) && leaving.ran().len() == before
        })
        .await;
        let before = leaving.ran().len();
        (0..30).for_each(|n| assert!(is_served(&fixture, &format!("m-{n}"))));
        assert_eq!(leaving.ran().len(), before);
        fixture.store.put("op", "evacuate/a", "{}");
        wait_until("nothing is sent there", || !is_served(&fixture, "evacuated")).await;
        let asked = Instant::now();
        let refused = fixture.host.call("POST", "/unsafe/1", "refused").unwrap();
        assert_eq!(refused.status, 503);
        let took = asked.elapsed();
        assert!(
            took < Duration::from_millis(200),
            "{took:?} until a call nobody can take was refused"
        );
        fixture.store.remove("op", "evacuate/a");
        wait_until("calls come back", || is_served(&fixture, "back")).await;
    });
}

#[test]
fn an_entry_that_cannot_be_read_names_no_upstream_and_the_others_hold() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        fixture.store.put("servers", "i-0", "{\"Service\": 7}");
        fixture.store.put("servers", "i-strange", "\u{1}");
        wait_until("the entry is dropped", || {
            let before = fixture.upstreams[0].ran().len();
            (0..8).all(|n| is_served(&fixture, &format!("u-{n}")))
                && fixture.upstreams[0].ran().len() == before
        })
        .await;
    });
}

#[test]
fn calls_are_served_while_the_store_is_down_and_news_come_after_it() {
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
fn a_store_that_falls_silent_is_given_up_and_found_again() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        fixture.store.set_mode(Mode::Silent);
        wait_until("the store is given up", || {
            fixture.host.process.lines_with("provider_lost") > 0
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
fn a_version_is_moved_to_and_the_operator_is_told() {
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
        let before = fixture.upstreams[0].ran().len();
        (0..10).for_each(|n| assert!(is_served(&fixture, &format!("a-{n}"))));
        assert_eq!(fixture.upstreams[0].ran().len(), before);
    });
}

#[test]
fn a_bad_version_is_taken_back_after_few_calls() {
    block_on(async {
        use basilhaven_bench::standin::users::upstream::Behaviour;
        let fixture = Fixture::start(&[PROMPT]).await;
        let new = Upstream::start("i-new", Behaviour::Fails);
        fixture.store.put("servers", "i-new", &new.entry(SERVICE, "v2", "ready"));
        let order = serde_json::json!({"Service": SERVICE, "To": "v2", "RampDurationS": 60});
        fixture.store.put("op", &format!("rollout/{SERVICE}"), &order.to_string());
        let report = || fixture.store.get("status", &format!("rollout/{SERVICE}"));
        wait_until("the move is taken back", || {
            for number in 0..20 {
                fixture.host.call("POST", "/unsafe/1", &format!("m-{number}")).unwrap();
            }
            report().is_some_and(|r| r.contains("rolled_back"))
        })
        .await;
        assert!(new.ran().len() <= 50, "{} calls reached the bad version", new.ran().len());
        let before = new.ran().len();
        (0..20).for_each(|n| assert!(is_served(&fixture, &format!("a-{n}"))));
        assert_eq!(new.ran().len(), before);
    });
}

#[test]
fn an_upstream_that_is_first_listed_after_it_left_gets_nothing() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT]).await;
        let late = Upstream::start("i-late", PROMPT);
        late.set_healthy(false);
        // Its leaving was written before this entry, which the store performed late.
        fixture.store.put("servers", "i-late", &late.entry(SERVICE, "v1", "ready"));
        wait_until("the entry is read", || fixture.host.process.lines_with("upstream_listed") > 1)
            .await;
        let listed = Instant::now();
        let mut number = 0;
        while listed.elapsed() < Duration::from_millis(4000) {
            assert!(is_served(&fixture, &format!("id-{number}")));
            assert_eq!(late.ran(), [""; 0], "after {:?}", listed.elapsed());
            number += 1;
        }
    });
}

#[test]
fn entries_that_come_out_of_order_bring_back_no_upstream_that_leaves() {
    block_on(async {
        let fixture = Fixture::start(&[PROMPT, PROMPT]).await;
        let leaving = &fixture.upstreams[0];
        let written = [
            leaving.entry(SERVICE, "v1", "ready"),
            leaving.entry(SERVICE, "v1", "draining"),
            leaving.entry(SERVICE, "v1", "ready").replace("\"born\":1", "\"born\":0"),
        ];
        let row = |number: usize| fixture.store.put("servers", &leaving.id, &written[number]);
        row(1);
        wait_until("its leaving is known", || {
            let before = leaving.ran().len();
            (0..20).all(|n| is_served(&fixture, &format!("l-{n}"))) && leaving.ran().len() == before
        })
        .await;
        let before = leaving.ran().len();
        // Late, twice, of an earlier start, and after its removal: reads are 0.6 s apart.
        for step in [Some(0), Some(0), Some(2), None, Some(0), Some(1), Some(2)] {
            match step {
                Some(number) => row(number),
                None => fixture.store.remove("servers", &leaving.id),
            }
            let until = Instant::now() + Duration::from_millis(1300);
            while Instant::now() < until {
                is_served(&fixture, "meanwhile");
                assert_eq!(leaving.ran().len(), before, "after {step:?}");
            }
        }
    });
}
