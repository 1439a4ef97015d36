//! The scripts of the cases in `review/6` to `review/10`: `standin CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod entries;
mod failure;
mod held;
mod limit;
mod tiny;
mod platform;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    // A stand-in that fails makes no verdict.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::exit(2);
    }));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("basilhaven-review-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        std::process::exit(2);
    }
    let record = platform::Record::new();
    let logs = temporary.display().to_string();
    let result = match &**case {
        "entries" => entries::run(&record, &logs, has_trouble),
        "failure" => failure::run(&record, &logs, has_trouble),
        "held" => held::run(&record, &logs, has_trouble),
        "limit" => limit::run(&record, &logs, has_trouble),
        "tiny" => tiny::run(&record, &logs, has_trouble),
        _ => None,
    };
    let code = match result {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    };
    record.say(format!("exit {code}"));
    record.write(&format!("{folder}/record.txt"));
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    std::process::exit(code);
}
