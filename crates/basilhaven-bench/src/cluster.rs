//! Sets of daemons and stand-ins that belong together.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use basilhaven::http1::client;
use basilhaven::{admin, config, order};

use crate::process::{self, Process};
use crate::standin::{caller, platform, upstream};

/// The key that all processes of a cluster share.
pub const PEER_KEY: &str = "a key for tests on loopback only";

/// The key that operators of a cluster show.
pub const OPERATOR_KEY: &str = "an operator's key for tests only";

/// How long a cluster may take until every host knows every other.
const JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its process.
    pub process: Process,
    /// Its name.
    pub name: String,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// The `--upstream` setting that names it.
    pub setting: String,
}

impl Upstream {
    /// What the platform's list of hosts says of it.
    pub fn spec(&self) -> config::Upstream {
        self.setting.parse().expect("a setting that was checked")
    }
}

impl Upstream {
    /// Starts an upstream of a service in a data centre; `args` are those of the stand-in.
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

    /// Tells the upstream how to behave.
    pub async fn control(&self, control: &upstream::Control) {
        let body = serde_json::to_vec(control).expect("plain data");
        post(self.address, "/stand-in/control", body).await;
    }

    /// What the upstream tells of itself.
    pub async fn stats(&self) -> upstream::Stats {
        get_json(self.address, "/stand-in/stats").await
    }

    /// The calls that the upstream has begun.
    pub async fn records(&self) -> Vec<upstream::Record> {
        get_json(self.address, "/stand-in/records").await
    }
}

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    /// Its process.
    pub process: Process,
    /// Where it takes requests.
    pub address: SocketAddr,
}

impl Platform {
    /// Starts a platform; `args` are those of the stand-in.
    pub async fn start(args: &[&str]) -> Platform {
        let mut all = vec!["platform".to_owned()];
        all.extend(args.iter().map(|a| (*a).to_owned()));
        let process = Process::start(&process::program("basilhaven-bench"), &all, &[]).await;
        let address = process.ready("address");
        Platform { process, address }
    }

    /// Puts a list of hosts in the place of the one that it shows.
    pub async fn put_hosts(&self, hosts: &config::Hosts) {
        let body = serde_json::to_vec(hosts).expect("plain data");
        send(self.address, http::Method::PUT, "/stand-in/hosts", body).await;
    }

    /// Tells the platform how to behave.
    pub async fn control(&self, control: &platform::Control) {
        let body = serde_json::to_vec(control).expect("plain data");
        post(self.address, "/stand-in/control", body).await;
    }

    /// Puts a row into its table, under no condition.
    pub async fn put_row(&self, key: &str, value: &serde_json::Value) {
        let path = format!("/stand-in/table/{key}");
        let body = serde_json::to_vec(value).expect("plain data");
        send(self.address, http::Method::PUT, &path, body).await;
    }

    /// The rows written so far, in order.
    pub async fn writes(&self) -> Vec<platform::WriteRecord> {
        get_json(self.address, "/stand-in/writes").await
    }

    /// The requests that it has taken so far.
    pub async fn counts(&self) -> platform::Counts {
        get_json(self.address, "/stand-in/counts").await
    }
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Its process.
    pub process: Process,
    /// Its name.
    pub name: String,
    /// Where it takes calls.
    pub callers: SocketAddr,
    /// Where it takes operators' orders.
    pub admin: SocketAddr,
    /// Where it takes peers' frames.
    pub peer: SocketAddr,
}

impl Daemon {
    /// Starts a daemon on ports from the operating system.
    pub async fn start(name: &str, data_centre: &str, args: &[String]) -> Daemon {
        let any = "127.0.0.1:0";
        let mut all: Vec<String> = ["--listen", any, "--admin", any, "--peer", any]
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

    /// Starts daemons that know each other, one for each data centre named, and waits until they do.
    ///
    /// # Panics
    ///
    /// They do not get to know each other in time.
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
            while daemon.advertised_hosts().await.len() < daemons.len() {
                assert!(Instant::now() < until, "{} does not know all hosts", daemon.name);
                monoio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        daemons
    }

    /// The hosts that this daemon would name to callers.
    pub async fn advertised_hosts(&self) -> Vec<basilhaven::member::Host> {
        get_json(self.admin, "/v1/hosts").await
    }
}

impl Daemon {
    /// What this daemon sees.
    pub async fn status(&self) -> admin::status::Status {
        let response = self.call_admin(http::Method::GET, "/v1/status", Vec::new()).await;
        serde_json::from_slice(&response.body).expect("a status")
    }

    /// The configuration in force on this daemon; `None` when it gives no answer.
    pub async fn try_config(&self) -> Option<admin::orders::Config> {
        let mut request = client::Request::new(http::Method::GET, "/v1/config", "").ok()?;
        let shown = http::HeaderValue::from_str(&format!("Bearer {OPERATOR_KEY}")).ok()?;
        request.headers.insert(http::header::AUTHORIZATION, shown);
        let response = client::call(self.admin, &request, Duration::from_secs(2), 1 << 24).await;
        serde_json::from_slice(&response.ok()?.body).ok()
    }

    /// Gives this daemon an order; its answer, whatever it is.
    pub async fn order(&self, order: &order::Order) -> client::Response {
        let body = serde_json::to_vec(order).expect("plain data");
        self.call_admin(http::Method::POST, "/v1/orders", body).await
    }

    /// As [`Daemon::order`], whatever the daemon objects.
    pub async fn force(&self, order: &order::Order) -> client::Response {
        let body = serde_json::to_vec(order).expect("plain data");
        let forced = [("basilhaven-force", "1")];
        self.call_admin_with(http::Method::POST, "/v1/orders", body, &forced).await
    }

    /// Sends this daemon a request with the operators' key.
    ///
    /// # Panics
    ///
    /// It gives no answer.
    pub async fn call_admin(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
    ) -> client::Response {
        self.call_admin_with(method, path, body, &[]).await
    }

    /// As [`Daemon::call_admin`], with more header fields.
    ///
    /// # Panics
    ///
    /// It gives no answer.
    pub async fn call_admin_with(
        &self,
        method: http::Method,
        path: &str,
        body: Vec<u8>,
        fields: &[(&'static str, &'static str)],
    ) -> client::Response {
        let mut request = client::Request::new(method, path, body).expect("a path");
        let shown = http::HeaderValue::from_str(&format!("Bearer {OPERATOR_KEY}"));
        request.headers.insert(http::header::AUTHORIZATION, shown.expect("plain text"));
        for (name, value) in fields {
            request.headers.insert(*name, http::HeaderValue::from_static(value));
        }
        let response = client::call(self.admin, &request, Duration::from_secs(10), 1 << 24).await;
        response.unwrap_or_else(|error| panic!("{path} on {}: {error}", self.name))
    }
}

/// Waits until a revision of the configuration is in force on daemons.
///
/// # Panics
///
/// It is not within `limit`.
pub async fn wait_for_revision(daemons: &[Daemon], revision: u64, limit: Duration) {
    let until = Instant::now() + limit;
    for daemon in daemons {
        while daemon.status().await.revisions.config < revision {
            assert!(Instant::now() < until, "{} is behind revision {revision}", daemon.name);
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A configuration in a file, for daemons without a platform; removed when dropped.
#[derive(Debug)]
pub struct ConfigFile(std::path::PathBuf);

impl ConfigFile {
    /// Writes a configuration to a file of its own.
    pub fn new(document: &config::Document) -> ConfigFile {
        let path = process::temporary_file("json");
        let text = serde_json::to_vec(document).expect("plain data");
        std::fs::write(&path, text).expect("a temporary file");
        ConfigFile(path)
    }

    /// A configuration under which no call is hedged, for those who count what upstreams ran.
    pub fn without_hedging() -> ConfigFile {
        let mut document = config::Document::default();
        document.profiles[config::DEFAULT_PROFILE].hedge_budget_percent = 0;
        ConfigFile::new(&document)
    }

    /// The flag that names it.
    pub fn flag(&self) -> [String; 2] {
        ["--config".to_owned(), self.0.display().to_string()]
    }
}

impl Drop for ConfigFile {
    fn drop(&mut self) {
        // A file that is gone already is as good.
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Starts a process of callers and waits for its summary.
///
/// # Panics
///
/// It fails, or takes longer than `limit`.
pub async fn run_callers(args: &[String], limit: Duration) -> caller::Summary {
    let mut process = start_callers(args).await;
    assert_eq!(process.wait(limit).await, Some(true), "the callers did not end well");
    summary(&process)
}

/// Starts a process of callers.
pub async fn start_callers(args: &[String]) -> Process {
    let mut all = vec!["caller".to_owned()];
    all.extend_from_slice(args);
    Process::start(&process::program("basilhaven-bench"), &all, &[]).await
}

/// The summary that a process of callers has printed.
///
/// # Panics
///
/// It has printed none.
pub fn summary(process: &Process) -> caller::Summary {
    let last = process.lines().pop().expect("callers print a summary");
    serde_json::from_value(last).expect("a summary")
}

/// Posts a body, and expects success.
///
/// # Panics
///
/// The call fails.
pub async fn post(address: SocketAddr, path: &str, body: Vec<u8>) {
    send(address, http::Method::POST, path, body).await;
}

async fn send(address: SocketAddr, method: http::Method, path: &str, body: Vec<u8>) {
    let request = client::Request::new(method, path, body).expect("a path");
    let response = client::call(address, &request, Duration::from_secs(5), 1 << 20).await;
    let response = response.unwrap_or_else(|e| panic!("{path}: {e}"));
    assert!(response.status.is_success(), "{path}: {}", response.status);
}

/// Gets a JSON value.
///
/// # Panics
///
/// The call fails, or brings something else.
pub async fn get_json<T>(address: SocketAddr, path: &str) -> T
where
    T: serde::de::DeserializeOwned,
{
    let request = client::Request::new(http::Method::GET, path, "").expect("a path");
    let response = client::call(address, &request, Duration::from_secs(5), 1 << 28).await;
    let response = response.unwrap_or_else(|e| panic!("GET {path}: {e}"));
    serde_json::from_slice(&response.body).unwrap_or_else(|e| panic!("GET {path}: {e}"))
}
