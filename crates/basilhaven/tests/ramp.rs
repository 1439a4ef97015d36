//! Upstreams that come back get their calls step by step.

use std::rc::Rc;
use std::time::Duration;

use basilhaven::{assignment, config, name, order, profile, ramp, service, upstream};

const RAMP: Duration = Duration::from_secs(600);

fn upstreams(count: usize) -> Vec<Rc<upstream::Upstream>> {
    let spec = |i| format!("catalogo/u{i}@127.0.0.1:{},slots=4,dc=dc-{}", i + 1, i % 2);
    let specs = (0..count).map(|i| spec(i).parse::<config::Upstream>().unwrap());
    specs.map(|spec| Rc::new(upstream::Upstream::new(spec))).collect()
}

/// Takes the first data centre out and brings it back.
fn return_first(all: &[Rc<upstream::Upstream>]) {
    let out = config::Out { data_centres: ["dc-0".parse().unwrap()].into(), ..Default::default() };
    for upstream in all {
        upstream.update(upstream.spec(), &out);
        upstream.update(upstream.spec(), &config::Out::default());
    }
}

#[test]
fn upstreams_that_were_never_out_are_not_held_back() {
    let mut all = upstreams(6);
    assert!(ramp::hold_back(&mut all, RAMP).is_empty());
    assert_eq!(all.len(), 6);
}

#[test]
fn upstreams_that_are_back_compete_for_a_small_share_of_the_calls() {
    fastrand::seed(7);
    let all = upstreams(6);
    return_first(&all);
    let mut competed = 0;
    for _ in 0..10_000 {
        let mut open = all.clone();
        let held_back = ramp::hold_back(&mut open, RAMP);
        assert_eq!(open.len() + held_back.len(), 6);
        competed += open.iter().filter(|u| u.ramp().share(RAMP) < 1.0).count();
    }
    // Three upstreams, each with a twentieth of one call in six.
    assert!((150..350).contains(&competed), "{competed}");
}

#[test]
fn a_return_without_a_ramp_is_a_step() {
    let mut all = upstreams(6);
    return_first(&all);
    assert!(ramp::hold_back(&mut all, Duration::ZERO).is_empty());
    assert_eq!(all.len(), 6);
}

const HOSTS: [&str; 3] = ["entry-1", "entry-2", "entry-3"];

/// The same service on each host, under a profile whose returns take this long.
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

/// Lists upstreams on each host, takes the first data centre out and brings it back.
fn list_and_return(services: &[Rc<service::Service>], count: usize) {
    let specs: Vec<_> = upstreams(count).iter().map(|upstream| upstream.spec()).collect();
    let out = config::Out { data_centres: ["dc-0".parse().unwrap()].into(), ..Default::default() };
    for service in services {
        for out in [config::Out::default(), out.clone(), config::Out::default()] {
            service.set_upstreams(&specs, &out);
        }
    }
}

/// The hosts that may send to the upstream of this place in the list.
fn senders(services: &[Rc<service::Service>], place: usize) -> usize {
    services.iter().filter(|service| service.upstreams()[place].is_usable()).count()
}

#[test]
fn an_upstream_that_is_back_gets_its_first_calls_from_one_host() {
    let services = services(RAMP);
    list_and_return(&services, 6);
    let senders: Vec<usize> = (0..6).map(|place| senders(&services, place)).collect();
    assert_eq!(senders, [1, 3, 1, 3, 1, 3]);
}

#[test]
fn a_service_without_another_upstream_gets_it_back_on_every_host() {
    let services = services(RAMP);
    list_and_return(&services, 1);
    assert_eq!(senders(&services, 0), 3);
}

#[test]
fn upstreams_that_are_back_are_open_to_every_host_once_the_others_are_out() {
    let services = services(RAMP);
    list_and_return(&services, 6);
    let specs: Vec<_> = upstreams(6).iter().map(|upstream| upstream.spec()).collect();
    let out = config::Out { data_centres: ["dc-1".parse().unwrap()].into(), ..Default::default() };
    for service in &services {
        service.set_upstreams(&specs, &out);
    }
    let senders = [0, 2, 4].map(|place| senders(&services, place));
    assert_eq!(senders, [3, 3, 3]);
}

#[test]
fn a_return_without_a_ramp_is_open_to_every_host_at_once() {
    let services = services(Duration::ZERO);
    list_and_return(&services, 6);
    assert!((0..6).all(|place| senders(&services, place) == 3));
}

/// A document after orders, as it comes out of its row.
fn after(orders: &[order::Order]) -> config::Document {
    let mut document = config::Document::default();
    for order in orders {
        document = order.applied_to(&document).unwrap();
    }
    config::Document::try_from(&*serde_json::to_string(&document).unwrap()).unwrap()
}

/// The share of an upstream on a host that learns of it and of a document at once.
fn first_share(document: &config::Document) -> f64 {
    let upstream = upstreams(1).remove(0);
    upstream.update(upstream.spec(), &document.out);
    upstream.ramp().share(RAMP)
}

#[test]
fn a_host_that_starts_during_a_return_goes_on_with_its_ramp() {
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
    // What was not out, is another's, or is out again has no return.
    assert_eq!(first_share(&after(&[back(data_centre.clone())])), 1.0);
    assert_eq!(first_share(&after(&[out(other.clone()), back(other)])), 1.0);
    let again = after(&[out(data_centre.clone()), back(data_centre.clone()), out(data_centre)]);
    assert!(again.out.returns.is_empty());
}
