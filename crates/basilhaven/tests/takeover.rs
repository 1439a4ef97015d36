//! A waiting call whose upstream becomes available through the passage of time alone.

use std::rc::Rc;
use std::time::{Duration, Instant};

use basilhaven::{assignment, call, config, profile, service};

/// Time limit of the test; the host takes over the cold upstream after one second.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn call() -> call::Call {
    call::Call {
        id: call::Id::random(),
        class: config::Class::Paying,
        idempotency: profile::Idempotency::Idempotent,
        deadline: Instant::now() + 2 * WAIT_LIMIT,
        depth: 0,
        retries_left: 0,
    }
}

/// Returns a service whose only upstream is cold, on a host that has just become the upstream's
/// cold-start owner: the single host that sends calls to it.
fn cold_service() -> Rc<service::Service> {
    let profile = Rc::new(profile::Profile::default());
    let name = "catalogo".parse().unwrap();
    let service = Rc::new(service::Service::new(name, "milano-a".parse().unwrap(), profile));
    let spec = "catalogo/u1@127.0.0.1:9,slots=4,dc=milano-a".parse().unwrap();
    service.set_upstreams(&[spec], &config::Out::default());
    service.apply_warmup(&"u1".parse().unwrap(), 1);
    let own: basilhaven::name::Name = "entry-1".parse().unwrap();
    for owner in ["entry-2", "entry-1"] {
        let hosts = vec![owner.parse().unwrap()];
        service.set_assignment(assignment::Assignment { local_host: Some(own.clone()), hosts });
    }
    service
}

#[test]
fn a_waiting_call_is_sent_once_its_host_has_taken_over_the_cold_upstream() {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    builder.enable_timer().build().unwrap().block_on(async {
        let service = cold_service();
        let waiting = {
            let service = Rc::clone(&service);
            monoio::spawn(async move { service.acquire(&call(), &[]).await })
        };
        let until = Instant::now() + WAIT_LIMIT;
        while service.queued() == 0 {
            assert!(Instant::now() < until, "the call was not enqueued");
            monoio::time::sleep(Duration::from_millis(1)).await;
        }
        while service.upstreams()[0].in_flight() == 0 {
            assert!(Instant::now() < until, "the call was never assigned");
            service.tick();
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
        assert!(waiting.await.is_ok());
    });
}
