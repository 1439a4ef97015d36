//! What operators and upstreams write to the store is in force in time, and nothing goes back.

use std::time::{Duration, Instant};

use basilhaven_bench::standin::block_on;
use basilhaven_bench::standin::users::store::Mode;
use basilhaven_bench::standin::users::upstream::Upstream;

use crate::world::{config, wait_until, World, PROMPT, SERVICE};

fn is_served(world: &World, id: &str) -> bool {
    world.host.call("GET", "/safe/1", id).is_ok_and(|answer| answer.status == 200)
}

#[test]
fn a_new_configuration_moves_a_route_and_an_older_one_does_not_move_it_back() {
    block_on(async {
        let world = World::start(&[PROMPT]).await;
        let other = Upstream::start("i-other", PROMPT);
        world.store.put("servers", "i-other", &other.entry("spedizioni", "v1", "ready"));
        world.store.put("op", "config", &config(5, "spedizioni"));
        wait_until("the route has moved", || {
            is_served(&world, "moved");
            !other.ran().is_empty()
        })
        .await;
        world.store.put("op", "config", &config(4, SERVICE));
        world.store.put("op", "config", &config(6, "spedizioni"));
        let before = world.upstreams[0].ran().len();
        wait_until("version 6 is applied", || {
            world.host.process.lines().iter().any(|line| line["version"] == 6)
        })
        .await;
        for number in 0..10 {
            assert!(is_served(&world, &format!("id-{number}")));
        }
        assert_eq!(world.upstreams[0].ran().len(), before);
    });
}

#[test]
fn an_upstream_that_is_leaving_or_evacuated_gets_nothing_more() {
    block_on(async {
        let world = World::start(&[PROMPT, PROMPT]).await;
        let [leaving, _] = &world.upstreams[..] else { panic!("two upstreams") };
        world.store.put("servers", &leaving.id, &leaving.entry(SERVICE, "v1", "draining"));
        wait_until("the entry is applied", || {
            let before = leaving.ran().len();
            // Twenty calls in a row do not miss one of two equal upstreams by chance.
            (0..20).all(|n| is_served(&world, &format!("l-{n}"))) && leaving.ran().len() == before
        })
        .await;
        let before = leaving.ran().len();
        (0..30).for_each(|n| assert!(is_served(&world, &format!("m-{n}"))));
        assert_eq!(leaving.ran().len(), before);
        world.store.put("op", "evacuate/a", "{}");
        wait_until("nothing is sent there", || !is_served(&world, "evacuated")).await;
        let asked = Instant::now();
        let refused = world.host.call("POST", "/unsafe/1", "refused").unwrap();
        assert_eq!(refused.status, 503);
        let took = asked.elapsed();
        assert!(
            took < Duration::from_millis(200),
            "{took:?} until a call nobody can take was refused"
        );
        world.store.remove("op", "evacuate/a");
        wait_until("calls come back", || is_served(&world, "back")).await;
    });
}

#[test]
fn an_entry_that_cannot_be_read_names_no_upstream_and_the_others_hold() {
    block_on(async {
        let world = World::start(&[PROMPT, PROMPT]).await;
        world.store.put("servers", "i-0", "{\"Service\": 7}");
        world.store.put("servers", "i-strange", "\u{1}");
        wait_until("the entry is dropped", || {
            let before = world.upstreams[0].ran().len();
            (0..8).all(|n| is_served(&world, &format!("u-{n}")))
                && world.upstreams[0].ran().len() == before
        })
        .await;
    });
}

#[test]
fn calls_are_served_while_the_store_is_down_and_news_come_after_it() {
    block_on(async {
        let world = World::start(&[PROMPT]).await;
        world.store.set_mode(Mode::Down);
        for number in 0..20 {
            assert!(is_served(&world, &format!("id-{number}")));
        }
        world.store.set_mode(Mode::Up);
        world.store.drop_history();
        world.store.put("op", "config", &config(9, SERVICE));
        wait_until("version 9 is applied", || {
            world.host.process.lines().iter().any(|line| line["version"] == 9)
        })
        .await;
    });
}

#[test]
fn a_store_that_falls_silent_is_given_up_and_found_again() {
    block_on(async {
        let world = World::start(&[PROMPT]).await;
        world.store.set_mode(Mode::Silent);
        wait_until("the store is given up", || world.host.process.lines_with("provider_lost") > 0)
            .await;
        world.store.set_mode(Mode::Up);
        world.store.put("op", "config", &config(3, SERVICE));
        wait_until("version 3 is applied", || {
            world.host.process.lines().iter().any(|line| line["version"] == 3)
        })
        .await;
    });
}

#[test]
fn a_version_is_moved_to_and_the_operator_is_told() {
    block_on(async {
        let world = World::start(&[PROMPT]).await;
        let new = Upstream::start("i-new", PROMPT);
        world.store.put("servers", "i-new", &new.entry(SERVICE, "v2", "ready"));
        let order = serde_json::json!({"Service": SERVICE, "To": "v2", "RampDurationS": 5});
        world.store.put("op", &format!("rollout/{SERVICE}"), &order.to_string());
        let report = || world.store.get("status", &format!("rollout/{SERVICE}"));
        wait_until("the move has begun", || report().is_some_and(|r| r.contains("running"))).await;
        wait_until("the move is done", || {
            (0..20).for_each(|n| assert!(is_served(&world, &format!("m-{n}"))));
            report().is_some_and(|r| r.contains("completed"))
        })
        .await;
        let before = world.upstreams[0].ran().len();
        (0..10).for_each(|n| assert!(is_served(&world, &format!("a-{n}"))));
        assert_eq!(world.upstreams[0].ran().len(), before);
    });
}

#[test]
fn a_bad_version_is_taken_back_after_few_calls() {
    block_on(async {
        use basilhaven_bench::standin::users::upstream::Behaviour;
        let world = World::start(&[PROMPT]).await;
        let new = Upstream::start("i-new", Behaviour::Fails);
        world.store.put("servers", "i-new", &new.entry(SERVICE, "v2", "ready"));
        let order = serde_json::json!({"Service": SERVICE, "To": "v2", "RampDurationS": 60});
        world.store.put("op", &format!("rollout/{SERVICE}"), &order.to_string());
        let report = || world.store.get("status", &format!("rollout/{SERVICE}"));
        wait_until("the move is taken back", || {
            for number in 0..20 {
                world.host.call("POST", "/unsafe/1", &format!("m-{number}")).unwrap();
            }
            report().is_some_and(|r| r.contains("rolled_back"))
        })
        .await;
        assert!(new.ran().len() <= 50, "{} calls reached the bad version", new.ran().len());
        let before = new.ran().len();
        (0..20).for_each(|n| assert!(is_served(&world, &format!("a-{n}"))));
        assert_eq!(new.ran().len(), before);
    });
}

#[test]
fn an_upstream_that_is_first_listed_after_it_left_gets_nothing() {
    block_on(async {
        let world = World::start(&[PROMPT]).await;
        let late = Upstream::start("i-late", PROMPT);
        late.set_healthy(false);
        // Its leaving was written before this entry, which the store performed late.
        world.store.put("servers", "i-late", &late.entry(SERVICE, "v1", "ready"));
        wait_until("the entry is read", || world.host.process.lines_with("upstream_listed") > 1)
            .await;
        let listed = Instant::now();
        let mut number = 0;
        while listed.elapsed() < Duration::from_millis(4000) {
            assert!(is_served(&world, &format!("id-{number}")));
            assert_eq!(late.ran(), [""; 0], "after {:?}", listed.elapsed());
            number += 1;
        }
    });
}

#[test]
fn entries_that_come_out_of_order_bring_back_no_upstream_that_leaves() {
    block_on(async {
        let world = World::start(&[PROMPT, PROMPT]).await;
        let leaving = &world.upstreams[0];
        let written = [
            leaving.entry(SERVICE, "v1", "ready"),
            leaving.entry(SERVICE, "v1", "draining"),
            leaving.entry(SERVICE, "v1", "ready").replace("\"born\":1", "\"born\":0"),
        ];
        let row = |number: usize| world.store.put("servers", &leaving.id, &written[number]);
        row(1);
        wait_until("its leaving is known", || {
            let before = leaving.ran().len();
            (0..20).all(|n| is_served(&world, &format!("l-{n}"))) && leaving.ran().len() == before
        })
        .await;
        let before = leaving.ran().len();
        // Late, twice, of an earlier start, and after its removal: reads are 0.6 s apart.
        for step in [Some(0), Some(0), Some(2), None, Some(0), Some(1), Some(2)] {
            match step {
                Some(number) => row(number),
                None => world.store.remove("servers", &leaving.id),
            }
            let until = Instant::now() + Duration::from_millis(1300);
            while Instant::now() < until {
                is_served(&world, "meanwhile");
                assert_eq!(leaving.ran().len(), before, "after {step:?}");
            }
        }
    });
}
