//! State shared by all hosts: orders, the list of hosts, and revisions that only increase.

use std::time::Duration;

use basilhaven::{config, order};
use basilhaven_bench::cluster::{self, Daemon, Platform, Upstream};
use basilhaven_bench::standin::{block_on, platform};

/// Limit on the time until a change is in force on every host.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);

#[test]
fn an_accepted_order_is_in_force_on_every_host_within_seconds() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let upstream = Upstream::start("catalogo", "u1", "milano-a", &[]).await;
        let other = Upstream::start("catalogo", "u2", "torino-b", &[]).await;
        let upstreams = vec![upstream.spec(), other.spec()];
        let hosts = config::Hosts { upstreams, entries: Vec::new() };
        platform.put_hosts(&hosts).await;
        let args = ["--platform".to_owned(), platform.address.to_string()];
        let daemons = Daemon::start_all(&["milano-a", "torino-b", "bergamo-c"], &args).await;

        let out = order::Order::Out(order::Target::DataCentre("milano-a".parse().unwrap()));
        let response = daemons[0].order(&out).await;
        assert_eq!(response.status, http::StatusCode::OK, "{:?}", response.body);
        let accepted: basilhaven::admin::orders::Accepted =
            serde_json::from_slice(&response.body).unwrap();
        cluster::wait_for_revision(&daemons, accepted.revision, IN_FORCE_TIMEOUT).await;
        let status = daemons[2].status().await;
        assert_eq!(status.services[0].upstreams[0].state, "out");
        assert_ne!(status.services[0].upstreams[1].state, "out");
    });
}

#[test]
fn the_last_entry_host_and_unknown_names_are_taken_out_of_service_by_force_only() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let args = ["--platform".to_owned(), platform.address.to_string()];
        let daemons = Daemon::start_all(&["milano-a", "torino-b"], &args).await;
        let out = |raw: &str| order::Order::Out(order::Target::Host(raw.parse().unwrap()));
        let unknown = daemons[0].order(&out("entry-9")).await;
        assert_eq!(unknown.status, http::StatusCode::UNPROCESSABLE_ENTITY);
        let text = String::from_utf8_lossy(&unknown.body).into_owned();
        assert!(text.contains("out.hosts.entry-9"), "{text}");
        assert!(daemons[0].order(&out("entry-1")).await.status.is_success());
        let last = daemons[0].order(&out("entry-2")).await;
        assert_eq!(last.status, http::StatusCode::UNPROCESSABLE_ENTITY);
        let text = String::from_utf8_lossy(&last.body).into_owned();
        assert!(text.contains("no entry host would be left"), "{text}");
        assert!(daemons[0].force(&out("entry-2")).await.status.is_success());
    });
}

#[test]
fn an_order_is_refused_while_the_platform_is_down() {
    block_on(async {
        let platform = Platform::start(&[]).await;
        let args = ["--platform".to_owned(), platform.address.to_string()];
        let daemon = Daemon::start("entry-1", "milano-a", &args).await;
        platform.control(&platform::Control { down: Some(true), ..Default::default() }).await;
        let back = order::Order::Back(order::Target::Host("entry-9".parse().unwrap()));
        let response = daemon.order(&back).await;
        assert_eq!(response.status, http::StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn orders_without_the_operator_key_are_refused() {
    block_on(async {
        let daemon = Daemon::start("entry-1", "milano-a", &[]).await;
        let request = basilhaven::http1::client::Request::new(
            http::Method::POST,
            "/v1/orders",
            r#"{"out": {"host": "entry-1"}}"#,
        );
        let timeout = Duration::from_secs(5);
        let response =
            basilhaven::http1::client::call(daemon.admin, &request.unwrap(), timeout, 1024).await;
        assert_eq!(response.unwrap().status, http::StatusCode::UNAUTHORIZED);
    });
}
