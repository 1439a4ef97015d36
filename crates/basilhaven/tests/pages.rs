//! Checks that the operators' pages list the settings, metrics and log events of the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use basilhaven::{profile, settings};

type Names = BTreeSet<String>;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the concatenated text of all files with an extension under a directory.
fn text_under(directory: &Path, extension: &str) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            text.push_str(&text_under(&path, extension));
        } else if path.extension().is_some_and(|found| found == extension) {
            text.push_str(&fs::read_to_string(path).expect("a text"));
        }
    }
    text
}

fn code() -> String {
    text_under(&root().join("crates/basilhaven/src"), "rs")
}

fn pages() -> String {
    let main = fs::read_to_string(root().join("docs/OPERATORS.md")).expect("a page");
    main + &text_under(&root().join("docs/operators"), "md")
}

/// Returns the names that follow each occurrence of `start`, with `prefix` before each.
fn names_after(text: &str, start: &str, prefix: &str) -> Names {
    let is_part = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "_-".contains(c);
    let rests = text.split(start).skip(1);
    let names = rests.map(|rest| rest.split(|c| !is_part(c)).next().unwrap_or_default());
    names.filter(|name| !name.is_empty()).map(|name| format!("{prefix}{name}")).collect()
}

/// Returns all words of a text.
fn words(text: &str) -> Names {
    let parts = text.split(|c: char| !(c.is_ascii_alphanumeric() || c == '_'));
    parts.map(str::to_owned).collect()
}

#[test]
fn the_pages_list_exactly_the_metrics_of_the_code() {
    let code = names_after(&code(), "\"basilhaven_", "basilhaven_");
    let pages = names_after(&pages(), "basilhaven_", "basilhaven_");
    assert!(code.len() > 10, "{code:?}");
    assert_eq!(pages, code);
}

#[test]
fn the_pages_list_every_log_event() {
    let events = names_after(&code(), "event = \"", "");
    assert!(events.len() > 10, "{events:?}");
    let words = words(&pages());
    let missing: Vec<_> = events.difference(&words).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn the_table_of_settings_matches_the_help_text() {
    let help = settings::raw().run_inner(&["--help"]).expect_err("a help text");
    let help = help.unwrap_stdout();
    let page = fs::read_to_string(root().join("docs/OPERATORS.md")).expect("a page");
    let mut flags = names_after(&help, "    --", "--");
    for common in ["--help", "--version"] {
        flags.remove(common);
    }
    assert!(flags.len() > 10, "{help}");
    let (_, table) = page.split_once("### Settings").expect("a table");
    let (table, _) = table.split_once("\n### ").expect("a next section");
    assert_eq!(names_after(table, "\n| `--", "--"), flags);
    let variables = |text: &str| -> Names {
        words(text).into_iter().filter(|word| word.starts_with("BASILHAVEN_")).collect()
    };
    assert_eq!(variables(table), variables(&help));
}

#[test]
fn the_table_of_profile_fields_matches_the_code() {
    let profile = serde_json::to_value(profile::Profile::default()).expect("plain data");
    let fields: Names = profile.as_object().expect("fields").keys().cloned().collect();
    let page = fs::read_to_string(root().join("docs/OPERATORS.md")).expect("a page");
    let (_, table) = page.split_once("Fields of a profile").expect("a table");
    let (table, _) = table.split_once("\n## ").expect("a next section");
    assert_eq!(names_after(table, "\n| `", ""), fields);
}
