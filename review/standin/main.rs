//! Runs one case of the review: `standin CASE FOLDER`. Exits with 0 if the rule held, 1 if it was
//! broken, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod abort;
mod client;
mod configuration;
mod http;
mod json;
mod links;
mod many;
mod record;
mod refused;
mod rollout;
mod server;
mod store;
mod system;
mod traffic;

use record::Record;

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (case, folder) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let run = || -> Result<Verdict, String> {
        let record = Record::create(&format!("{folder}/record.txt")).map_err(|e| e.to_string())?;
        let logs = std::env::var("LOGS").unwrap_or_else(|_| "/tmp".to_owned());
        match &*case {
            "lost-answer" => configuration::lost_answer(&record, &logs, has_trouble),
            "abort" => abort::run(&record, &logs, has_trouble),
            "bad-version" => rollout::run(&record, &logs, has_trouble),
            "many-services" => many::run(&record, &logs, has_trouble),
            "refused" => refused::run(&record, &logs, has_trouble),
            "restored" => configuration::restored(&record, &logs, has_trouble),
            other => Err(format!("there is no case {other:?}")),
        }
    };
    // Hosts are ended when they are dropped, also after a panic.
    let code = match std::panic::catch_unwind(run) {
        Ok(Ok(Verdict::Held)) => 0,
        Ok(Ok(Verdict::Broken)) => 1,
        Ok(Err(error)) => {
            eprintln!("the case could not run: {error}");
            2
        }
        Err(_) => 2,
    };
    std::process::exit(code);
}

/// Returns a configuration of this version. `service` takes the requests of the unsafe route.
pub fn config(version: u64, service: &str, more_routes: &str) -> String {
    format!(
        "{{\"Version\":\"{version:08x}\",\"Services\":[\
         {{\"Name\":\"huvo11a\",\"HealthPath\":\"/healthz\",\"MaxConns\":220,\"Protocol\":\"h1\",\
         \"Tls\":false,\"ColdStartS\":3.0,\"ColdPerS\":13.0}},\
         {{\"Name\":\"wuno96b\",\"HealthPath\":\"/healthz\",\"MaxConns\":220,\"Protocol\":\"h1\",\
         \"Tls\":false,\"ColdStartS\":3.0,\"ColdPerS\":13.0}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,\"HeaderTimeoutS\":3,\
         \"IdleTimeoutS\":15}},\
         \"VirtualHosts\":[{{\"Host\":\"ficu95.example\",\"Paths\":[\
         {{\"Name\":\"r-3d3zji9\",\"Prefix\":\"/pufi791/\",\"Kind\":\"unsafe\",\"TimeoutS\":1,\
         \"TargetLatencyS\":0.3,\"Priority\":1,\"Service\":\"{service}\",\"MaxAttempts\":2}},\
         {{\"Name\":\"r-hwrr6x7\",\"Prefix\":\"/lohu930/\",\"Kind\":\"safe\",\"TimeoutS\":0.8,\
         \"TargetLatencyS\":0.25,\"Priority\":2,\"Service\":\"huvo11a\",\"MaxAttempts\":2}}\
         {more_routes}]}}]}}"
    )
}

/// Returns a configuration of this version with many unsafe routes to one service.
pub fn routes_config(version: u64, service: &str, count: usize) -> String {
    let routes: String = (0..count)
        .map(|n| {
            format!(
                ",{{\"Name\":\"r-{n:05}\",\"Prefix\":\"/r{n:05}/\",\"Kind\":\"unsafe\",\
                 \"TimeoutS\":1,\"TargetLatencyS\":0.3,\"Priority\":1,\
                 \"Service\":\"{service}\",\"MaxAttempts\":2}}"
            )
        })
        .collect();
    config(version, service, &routes)
}

/// Returns a configuration of this version with many more services, none of which takes requests.
pub fn services_config(version: u64, service: &str, count: usize) -> String {
    let more: String = (0..count)
        .map(|n| {
            format!(
                "{{\"Name\":\"bindery-por{n:03}\",\"HealthPath\":\"/healthz\",\"MaxConns\":220,\
                 \"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":3.0,\"ColdPerS\":13.0}},"
            )
        })
        .collect();
    config(version, service, "").replacen("\"Services\":[", &format!("\"Services\":[{more}"), 1)
}
