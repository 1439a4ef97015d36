//! The cases of this review that are scripts; see `review/REPORT-3.md`.

mod common;
mod crowd;
mod flood;
mod full;
mod promise;
mod reader;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, record) = (arguments.next().unwrap_or_default(), arguments.next());
    let record = common::Record::create(&record.unwrap_or_else(|| "record.txt".into()));
    let is_broken = match &*case {
        "crowd" => crowd::run(&record),
        "flood" => flood::run(&record),
        "full" => full::run(&record),
        "promise" => promise::run(&record),
        "reader" => reader::run(&record),
        other => common::fail(&format!("no case {other}")),
    };
    record.line(if is_broken { "the rule is broken" } else { "the rule held" });
    std::process::exit(i32::from(is_broken))
}
