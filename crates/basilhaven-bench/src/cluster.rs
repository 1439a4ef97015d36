//! Starts daemons and stand-ins as processes that form one cluster, and sends requests to them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::http1::client;
use basilhaven::{admin, config, order};

use crate::process::{self, Process};
use crate::standin::{caller, platform, upstream};

/// The key that the daemons of a cluster share.
pub const PEER_KEY: &str = "a key for tests on loopback only";

/// The key with which operators authenticate to a cluster.
pub const OPERATOR_KEY: &str = "an operator's key for tests only";

/// How long daemons may take after their start until each of them knows all others.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// A running stand-in for an upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The process.
    pub process: Process,
    /// The name.
    pub name: String,
    /// The address for callers.
    pub address: SocketAddr,
    /// The `--upstream` setting that names it.
    pub setting: String,
}

impl Upstream {
    /// Returns its entry in the platform's list of hosts.
    pub fn spec(&self) -> config::Upstream {
        self.setting.parse().expect("a valid --upstream setting")
    }
}

impl Upstream {
    /// Starts an upstream of a service in a data centre; `args` are passed to the stand-in.
    pub async fn start(service: &str, name: &str, data_centre: &str, args: &[&str]) -> Upstream {
        let mut all = vec!["upstream".to_owned()];
        all.extend(args.iter().map(|a| (*a).to_owned()));
        let process = Process::start(&process::program("basilhaven-bench"), &all, &[]).await;
        let address: SocketAddr = process.ready("address");
        let slots = args.iter().position(|a| *a == "--slots").and_then(|i| args.get(i + 1));
        let slots = slots.unwrap_or(&"4");
        let setting = format!("{service}/{name}@{address},slots={slots},dc={data_centre}");
        Upstream { process, name: name.to_owned(), address, setting }
    }

    /// Changes the upstream's behaviour.
    pub async fn control(&self, control: &upstream::Control) {
        let body = serde_json::to_vec(control).expect("serialization does not fail");
        post(self.address, "/stand-in/control", body).await;
    }

    /// Returns the upstream's statistics.
    pub async fn stats(&self) -> upstream::Stats {
        get_json(self.address, "/stand-in/stats").await
    }

    /// Returns the calls whose execution the upstream has begun.
    pub async fn records(&self) -> Vec<upstream::Record> {
        get_json(self.address, "/stand-in/records").await
    }
}

/// A running stand-in for the platform.
#[derive(Debug)]
pub struct Platform {
    /// The process.
    pub process: Process,
    /// The address for requests.
    pub address: SocketAddr,
}

impl Platform {
    /// Starts a platform; `args` are passed to the stand-in.
    pub async fn start(args: &[&str]) -> Platform {
        let mut all = vec!["platform".to_owned()];
        all.extend(args.iter().map(|a| (*a).to_owned()));
        let process = Process::start(&process::program("basilhaven-bench"), &all, &[]).await;
        let address = process.ready("address");
        Platform { process, address }
    }

    /// Replaces the platform's list of hosts.
    pub async fn put_hosts(&self, hosts: &config::Hosts) {
        let body = serde_json::to_vec(hosts).expect("serialization does not fail");
        send(self.address, http::Method::PUT, "/stand-in/hosts", body).await;
    }

    /// Changes the platform's faults.
    pub async fn control(&self, control: &platform::Control) {
        let body = serde_json::to_vec(control).expect("serialization does not fail");
        post(self.address, "/stand-in/control", body).await;
    }

    /// Writes a row of the table without a condition.
    pub async fn put_row(&self, key: &str, value: &serde_json::Value) {
        let path = format!("/stand-in/table/{key}");
        let body = serde_json::to_vec(value).expect("serialization does not fail");
        send(self.address, http::Method::PUT, &path, body).await;
    }

    /// Returns the rows written so far, in order.
    pub async fn writes(&self) -> Vec<platform::WriteRecord> {
        get_json(self.address, "/stand-in/writes").await
    }

    /// Returns the number of requests handled so far.
    pub async fn counts(&self) -> platform::Counts {
        get_json(self.address, "/stand-in/counts").await
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// The process.
    pub process: Process,
    /// The name.
    pub name: String,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// The address for other hosts.
    pub peer: SocketAddr,
}

impl Daemon {
    /// Starts a daemon on ports chosen by the operating system.
    pub async fn start(name: &str, data_centre: &str, args: &[String]) -> Daemon {
        let any_port = "127.0.0.1:0";
        let mut all: Vec<String> = ["--listen", any_port, "--admin", any_port, "--peer", any_port]
            .iter()
            .map(|a| (*a).to_owned())
            .collect();
        all.extend(["--name".to_owned(), name.to_owned()]);
        all.extend(["--data-centre".to_owned(), data_centre.to_owned()]);
        all.extend_from_slice(args);
        let env = [("BASILHAVEN_PEER_KEY", PEER_KEY), ("BASILHAVEN_OPERATOR_KEY", OPERATOR_KEY)];
        let process = Process::start(&process::program("basilhavend"), &all, &env).await;
        let callers = process.ready("callers");
        let admin = process.ready("admin");
        let peer = process.ready("peer");
        Daemon { process, name: name.to_owned(), callers, admin, peer }
    }

    /// Starts one daemon for each data centre given, and waits until each of them knows all others
    /// and has a configuration.
    ///
    /// # Panics
    ///
    /// Panics if they do not within 10 s.
    pub async fn start_all(data_centres: &[&str], args: &[String]) -> Vec<Daemon> {
        let mut daemons: Vec<Daemon> = Vec::with_capacity(data_centres.len());
        for (i, data_centre) in data_centres.iter().enumerate() {
            let mut args = args.to_vec();
            for seed in daemons.iter().take(3) {
                args.extend(["--seed".to_owned(), seed.peer.to_string()]);
            }
            daemons.push(Daemon::start(&format!("entry-{}", i + 1), data_centre, &args).await);
        }
        let until = Instant::now() + JOIN_TIMEOUT;
        for daemon in &daemons {
            while daemon.advertised_hosts().await.len() < daemons.len()
                || !daemon.is_configured().await
            {
                assert!(Instant::now() < until, "{} does not know all hosts in time", daemon.name);
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        daemons
    }

    /// Returns the hosts that this daemon advertises to callers.
    pub async fn advertised_hosts(&self) -> Vec<basilhaven::member::Host> {
        get_json(self.admin, "/v1/hosts").await
    }
}

impl Daemon {
    /// Returns whether this daemon has a configuration; until then it refuses calls with 503.
    pub async fn is_configured(&self) -> bool {
        let request = client::Request::new(http::Method::GET, "/healthz", "").expect("a path");
        let response = client::call(self.admin, &request, Duration::from_secs(2), 1 << 10).await;
        response.is_ok_and(|response| response.status == http::StatusCode::OK)
    }

    /// Returns this daemon's status.
    pub async fn status(&self) -> admin::status::Status {
        let response = self.call_admin(http::Method::GET, "/v1/status", Vec::new()).await;
        serde_json::from_slice(&response.body).expect("a status")
    }

    /// Returns the configuration in force on this daemon; `None` if it does not respond.
    pub async fn try_config(&self) -> Option<admin::orders::Config> {
        let mut request = client::Request::new(http::Method::GET, "/v1/config", "").ok()?;
        let token = http::HeaderValue::from_str(&format!("Bearer {OPERATOR_KEY}")).ok()?;
        request.headers.insert(http::header::AUTHORIZATION, token);
        let response = client::call(self.admin, &request, Duration::from_secs(2), 1 << 24).await;
        serde_json::from_slice(&response.ok()?.body).ok()
    }

    /// Sends this daemon an order, and returns the response, whatever its status.
    pub async fn order(&self, order: &order::Order) -> client::Response {
        let body = serde_json::to_vec(order).expect("serialization does not fail");
        self.call_admin(http::Method::POST, "/v1/orders", body).await
    }

    /// Sends an order as [`Daemon::order`] does, but with `basilhaven-force`, which overrides the
    /// daemon's objections.
    pub async fn force(&self, order: &order::Order) -> client::Response {
        let body = serde_json::to_vec(order).expect("serialization does not fail");
        let fields = [("basilhaven-force", "1")];
        self.call_admin_with(http::Method::POST, "/v1/orders", body, &fields).await
    }

    /// Sends a request with the operators' key to this daemon's admin address.
    ///
    /// # Panics
    ///
    /// Panics if the daemon does not respond.
    pub async fn call_admin(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> client::Response {
        self.call_admin_with(method, path, body, &[]).await
    }

    /// Sends a request as [`Daemon::call_admin`] does, with additional header fields.
    ///
    /// # Panics
    ///
    /// Panics if the daemon does not respond.
    pub async fn call_admin_with(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
        fields: &[(&'static str, &'static str)],
    ) -> client::Response {
        let mut request = client::Request::new(method, path, body).expect("a path");
        let token = http::HeaderValue::from_str(&format!("Bearer {OPERATOR_KEY}"));
        request.headers.insert(http::header::AUTHORIZATION, token.expect("a valid header value"));
        for (name, value) in fields {
            request.headers.insert(*name, http::HeaderValue::from_static(value));
        }
        let response = client::call(self.admin, &request, Duration::from_secs(10), 1 << 24).await;
        response.unwrap_or_else(|error| panic!("{path} on {}: {error}", self.name))
    }
}

/// Waits until this revision of the configuration, or a later one, is in force on all daemons.
///
/// # Panics
///
/// Panics if it is not in force within `limit`.
pub async fn wait_for_revision(daemons: &[Daemon], revision: u64, limit: Duration) {
    let until = Instant::now() + limit;
    for daemon in daemons {
        while daemon.status().await.revisions.config < revision {
            assert!(Instant::now() < until, "{} is behind revision {revision}", daemon.name);
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A temporary configuration file for daemons without a platform; removed on drop.
#[derive(Debug)]
pub struct ConfigFile(std::path::PathBuf);

impl ConfigFile {
    /// Writes a configuration to a new file.
    pub fn new(document: &config::Document) -> ConfigFile {
        let path = process::temporary_file("json");
        let text = serde_json::to_vec(document).expect("serialization does not fail");
        std::fs::write(&path, text).expect("a temporary file");
        ConfigFile(path)
    }

    /// Writes a configuration without hedging, for tests that count executions on upstreams.
    pub fn without_hedging() -> ConfigFile {
        let mut document = config::Document::default();
        document.profiles[config::DEFAULT_PROFILE].hedge_budget_percent = 0;
        ConfigFile::new(&document)
    }

    /// Returns the command-line flag that names the file.
    pub fn flag(&self) -> [String; 2] {
        ["--config".to_owned(), self.0.display().to_string()]
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        // The file may have been removed already.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Runs a process of callers to its end, and returns its summary.
///
/// # Panics
///
/// Panics if the process fails or takes longer than `limit`.
pub async fn run_callers(args: &[String], limit: Duration) -> caller::Summary {
    let mut process = start_callers(args).await;
    assert_eq!(
        process.wait(limit).await,
        Some(true),
        "the callers did not exit successfully in time"
    );
    summary(&process)
}

/// Starts a process of callers.
pub async fn start_callers(args: &[String]) -> Process {
    let mut all = vec!["caller".to_owned()];
    all.extend_from_slice(args);
    Process::start(&process::program("basilhaven-bench"), &all, &[]).await
}

/// Returns the summary that a process of callers has printed.
///
/// # Panics
///
/// Panics if it has printed none.
pub fn summary(process: &Process) -> caller::Summary {
    let last = process.lines().pop().expect("callers print a summary");
    serde_json::from_value(last).expect("a summary")
}

/// Sends a POST request, and expects a success.
///
/// # Panics
///
/// Panics if the request fails.
pub async fn post(address: SocketAddr, path: &str, body: Vec<u8>) {
    send(address, http::Method::POST, path, body).await;
}

async fn send(address: SocketAddr, method: http::Method, path: &str, body: Vec<u8>) {
    let request = client::Request::new(method, path, body).expect("a path");
    let response = client::call(address, &request, Duration::from_secs(5), 1 << 20).await;
    let response = response.unwrap_or_else(|e| panic!("{path}: {e}"));
    assert!(response.status.is_success(), "{path}: {}", response.status);
}

/// Sends a GET request, and parses the response as JSON.
///
/// # Panics
///
/// Panics if the request fails or the response is not such a value.
pub async fn get_json<T>(address: SocketAddr, path: &str) -> T
where
    T: serde::de::DeserializeOwned,
{
    let request = client::Request::new(http::Method::GET, path, "").expect("a path");
    let response = client::call(address, &request, Duration::from_secs(5), 1 << 28).await;
    let response = response.unwrap_or_else(|e| panic!("GET {path}: {e}"));
    serde_json::from_slice(&response.body).unwrap_or_else(|e| panic!("GET {path}: {e}"))
}
