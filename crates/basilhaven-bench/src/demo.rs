//! A demonstration: stand-in upstreams, three daemons, and calls through them.

use std::time::Duration;

use crate::experiment::path;

/// The number of calls that the demonstration makes.
const CALLS: usize = 2_000;

/// Runs the demonstration, prints a summary, and returns whether every call got its own response.
pub async fn run(seed: u64) -> bool {
    println!("Starting 6 upstreams and 3 entry hosts on loopback ...");
    let setup = path::start().await;
    for daemon in &setup.daemons {
        println!(
            "  {} takes calls on {}, operators on {}",
            daemon.name, daemon.callers, daemon.admin
        );
    }
    println!("Making {CALLS} calls of the service catalogo ...");
    let summary = path::call(&setup, CALLS, seed).await;
    let ms = |us: u64| Duration::from_micros(us).as_secs_f64() * 1e3;
    println!();
    println!("answered {} of {}, wrong {}", summary.answered, summary.calls, summary.wrong);
    for (kind, count) in &summary.failed {
        println!("failed {count}: {kind}");
    }
    println!("latency in ms          p50    p99    max");
    for (label, latency) in [("through basilhaven", summary.latency), ("direct", summary.direct)] {
        let (p50, p99, max) = (ms(latency.p50_us), ms(latency.p99_us), ms(latency.max_us));
        println!("{label:<20} {p50:>5.2}  {p99:>5.2}  {max:>5.2}");
    }
    println!("calls by upstream");
    for (upstream, calls) in &summary.by_upstream {
        println!("  {upstream:<12} {calls}");
    }
    println!("calls by entry host");
    for (entry, calls) in &summary.by_entry {
        let name = setup.daemons.iter().find(|d| d.callers.to_string() == *entry);
        println!("  {:<12} {calls}", name.map_or("?", |d| &d.name));
    }
    summary.answered == summary.calls && summary.wrong == 0
}
