//! The ramp of upstreams that return to service.

use std::rc::Rc;
use std::time::Duration;

use basilhaven::{assignment, config, name, order, profile, ramp, service, upstream};

const RAMP: Duration = Duration::from_secs(600);

fn upstreams(count: usize) -> Vec<Rc<upstream::Upstream>> {
    let spec = |i| format!("catalogo/u{i}@127.0.0.1:{},slots=4,dc=dc-{}", i + 1, i % 2);
    let specs = (0..count).map(|i| spec(i).parse::<config::Upstream>().unwrap());
    specs.map(|spec| Rc::new(upstream::Upstream::new(spec))).collect()
}

/// Takes the data centre `dc-0`, which has every other upstream, out of service and returns it.
fn return_first_data_centre(all: &[Rc<upstream::Upstream>]) {
    let out = config::Out { data_centres: ["dc-0".parse().unwrap()].into(), ..Default::default() };
    for upstream in all {
        upstream.update(upstream.spec(), &out);
        upstream.update(upstream.spec(), &config::Out::default());
    }
}

#[test]
fn upstreams_that_were_never_out_of_service_are_not_held_back() {
    let mut all = upstreams(6);
    assert!(ramp::hold_back(&mut all, RAMP).is_empty());
    assert_eq!(all.len(), 6);
}

#[test]
fn returned_upstreams_compete_for_a_small_share_of_the_calls() {
    fastrand::seed(7);
    let all = upstreams(6);
    return_first_data_centre(&all);
    let mut competed = 0;
    for _ in 0..10_000 {
        let mut open = all.clone();
        let held_back = ramp::hold_back(&mut open, RAMP);
        assert_eq!(open.len() + held_back.len(), 6);
        competed += open.iter().filter(|u| u.ramp().share(RAMP) < 1.0).count();
    }
    // Three upstreams, each with a twentieth of its normal sixth of the calls.
    assert!((150..350).contains(&competed), "{competed}");
}

#[test]
fn a_return_without_a_ramp_is_immediate() {
    let mut all = upstreams(6);
    return_first_data_centre(&all);
    assert!(ramp::hold_back(&mut all, Duration::ZERO).is_empty());
    assert_eq!(all.len(), 6);
}

const HOSTS: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

/// Returns the same service on each host, with the given return ramp.
fn services(return_ramp: Duration) -> Vec<Rc<service::Service>> {
    let profile = Rc::new(profile::Profile { return_ramp, ..profile::Profile::default() });
    let hosts: Vec<name::Name> = HOSTS.iter().map(|host| host.parse().unwrap()).collect();
    let on = |own: &name::Name| {
        let names = ("catalogo".parse().unwrap(), "dc-0".parse().unwrap());
        let service = Rc::new(service::Service::new(names.0, names.1, Rc::clone(&profile)));
        let assignment =
            assignment::Assignment { local_host: Some(own.clone()), hosts: hosts.clone() };
        service.set_assignment(assignment);
        service
    };
    hosts.iter().map(on).collect()
}

/// Sets the same upstreams on each host, takes the data centre `dc-0` out of service and returns
/// it.
fn set_upstreams_and_return(services: &[Rc<service::Service>], count: usize) {
    let specs: Vec<_> = upstreams(count).iter().map(|upstream| upstream.spec()).collect();
    let out = config::Out { data_centres: ["dc-0".parse().unwrap()].into(), ..Default::default() };
    for service in services {
        for out in [config::Out::default(), out.clone(), config::Out::default()] {
            service.set_upstreams(&specs, &out);
        }
    }
}

/// Returns the number of hosts that may send to the upstream at this index of the list.
fn senders(services: &[Rc<service::Service>], index: usize) -> usize {
    services.iter().filter(|service| service.upstreams()[index].is_usable()).count()
}

#[test]
fn a_returned_upstream_gets_its_first_calls_from_one_host() {
    let services = services(RAMP);
    set_upstreams_and_return(&services, 6);
    let senders: Vec<usize> = (0..6).map(|index| senders(&services, index)).collect();
    assert_eq!(senders, [1, 3, 1, 3, 1, 3]);
}

#[test]
fn the_only_upstream_of_a_service_returns_on_every_host() {
    let services = services(RAMP);
    set_upstreams_and_return(&services, 1);
    assert_eq!(senders(&services, 0), 3);
}

#[test]
fn returned_upstreams_are_usable_by_every_host_once_the_others_are_out_of_service() {
    let services = services(RAMP);
    set_upstreams_and_return(&services, 6);
    let specs: Vec<_> = upstreams(6).iter().map(|upstream| upstream.spec()).collect();
    let out = config::Out { data_centres: ["dc-1".parse().unwrap()].into(), ..Default::default() };
    for service in &services {
        service.set_upstreams(&specs, &out);
    }
    let senders = [0, 2, 4].map(|index| senders(&services, index));
    assert_eq!(senders, [3, 3, 3]);
}

#[test]
fn without_a_ramp_a_returned_upstream_is_usable_by_every_host_immediately() {
    let services = services(Duration::ZERO);
    set_upstreams_and_return(&services, 6);
    assert!((0..6).all(|index| senders(&services, index) == 3));
}

/// Applies orders to an empty document and returns the result after a round trip through JSON.
fn after(orders: &[order::Order]) -> config::Document {
    let mut document = config::Document::default();
    for order in orders {
        document = order.applied_to(&document).unwrap();
    }
    config::Document::try_from(&*serde_json::to_string(&document).unwrap()).unwrap()
}

/// Returns the initial share of an upstream on a host that receives it together with a document.
fn first_share(document: &config::Document) -> f64 {
    let upstream = upstreams(1).remove(0);
    upstream.update(upstream.spec(), &document.out);
    upstream.ramp().share(RAMP)
}

#[test]
fn a_host_that_starts_during_a_return_continues_its_ramp() {
    let data_centre = order::Target::DataCentre("dc-0".parse().unwrap());
    let other = order::Target::DataCentre("dc-1".parse().unwrap());
    let (out, back) = (order::Order::Out, order::Order::Back);
    for target in [data_centre.clone(), order::Target::Upstream("u0".parse().unwrap())] {
        let document = after(&[out(target.clone()), back(target)]);
        assert!(first_share(&document) < 0.1);
    }
    let mut ended = after(&[out(data_centre.clone()), back(data_centre.clone())]);
    ended.out.returns[0].at -= RAMP + Duration::from_secs(1);
    assert_eq!(first_share(&ended), 1.0);
    // Targets that were not out, that do not concern the upstream, or that are out again: no ramp.
    assert_eq!(first_share(&after(&[back(data_centre.clone())])), 1.0);
    assert_eq!(first_share(&after(&[out(other.clone()), back(other)])), 1.0);
    let again = after(&[out(data_centre.clone()), back(data_centre.clone()), out(data_centre)]);
    assert!(again.out.returns.is_empty());
}
