//! Runs the scenarios under `tests/scenarios/`, each file with new processes.
//!
//! `RUN=crossed cargo test -p basilhaven-bench --test scenarios answers` runs one file, named
//! without its directory; `REWRITE=1` replaces the expected outputs in the files by the actual
//! ones.

use std::io::Write as _;
use std::path::{Path, PathBuf};
use std::process::Command;

use basilhaven_bench::scenario::Scenario;

/// Environment variable that names the file to run.
const FILTER: &str = "RUN";

const DIRECTORIES: [&str; 6] = ["answers", "classes", "faults", "hosts", "moves", "pairs"];

fn path_of(directory: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios").join(directory)
}

/// Panics if no scenario has the name in `RUN`: `datadriven` ignores a filter that matches no file,
/// and the test would pass without running anything.
fn check_filter(directory: &str) {
    let Ok(name) = std::env::var(FILTER) else { return };
    let is_in = |directory: &str| path_of(directory).join(&name).exists();
    let exists = DIRECTORIES.into_iter().any(is_in);
    assert!(exists, "no scenario is named {name:?}; a name is given without its directory");
    if !is_in(directory) {
        // The test harness hides the output of a passing test, but not what is written to the
        // standard error stream directly.
        let _ = writeln!(std::io::stderr(), "no scenario in {directory} is named {name:?}");
    }
}

fn run(directory: &str) {
    check_filter(directory);
    let path = path_of(directory);
    assert!(path.is_dir(), "{} is not a directory", path.display());
    datadriven::walk(&path.display().to_string(), |file| {
        let mut scenario = Scenario::default();
        file.run(|step| scenario.run(step));
    });
}

#[test]
fn answers() {
    run("answers");
}

#[test]
fn classes() {
    run("classes");
}

#[test]
fn faults() {
    run("faults");
}

#[test]
fn hosts() {
    run("hosts");
}

#[test]
fn moves() {
    run("moves");
}

#[test]
fn pairs() {
    run("pairs");
}

#[test]
fn a_filter_that_names_no_scenario_fails() {
    for name in ["no-such-scenario", "answers/crossed"] {
        let mut command = Command::new(std::env::current_exe().expect("a running program"));
        let output = command.arg("answers").env(FILTER, name).output().expect("this program");
        assert!(
            !output.status.success(),
            "the filter {name:?} matches no scenario, but the test passed"
        );
    }
}

#[test]
fn every_scenario_directory_has_a_test() {
    let all = std::fs::read_dir(path_of("")).expect("the scenarios");
    let names = all.map(|entry| entry.expect("an entry").file_name().into_string());
    let mut names: Vec<String> = names.map(|name| name.expect("a plain name")).collect();
    names.sort();
    assert_eq!(names, DIRECTORIES);
}
