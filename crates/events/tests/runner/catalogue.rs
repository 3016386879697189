//! Guards against log events that are missing from the documented catalogue, and against unused or
//! renumbered ones.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use roseridge_events::ALL_EVENTS;

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read_file(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the rows of the catalogue: number, name, meaning and action.
fn catalogue_rows() -> Vec<[String; 4]> {
    let text = read_file(&repository_root().join("docs/events.md"));
    let rows = text.lines().filter(|line| line.starts_with("| RR"));
    rows.map(|row| {
        let cells: Vec<_> = row.trim_matches('|').split('|').map(str::trim).collect();
        let cells: [&str; 4] = cells.try_into().expect("a row has four cells");
        cells.map(str::to_owned)
    })
    .collect()
}

/// Returns the names and numbers of the constants that the source of the crate declares.
fn declared_constants() -> Vec<(String, u16)> {
    let text = read_file(&repository_root().join("crates/events/src/lib.rs"));
    let constants = text.lines().filter_map(|line| {
        let (constant, value) = line.trim().split_once(" = ")?;
        let number = value.split(' ').next()?.parse().ok()?;
        let is_constant = constant.chars().all(|c| c.is_ascii_uppercase() || c == '_');
        is_constant.then(|| (constant.to_owned(), number))
    });
    constants.collect()
}

/// Collects the paths of the Rust sources in a folder and its subfolders.
fn collect_sources(folder: &Path, paths: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a readable folder").flatten() {
        let path = entry.path();
        match path.extension() {
            _ if path.is_dir() => collect_sources(&path, paths),
            Some(suffix) if suffix == "rs" => paths.push(path),
            _ => {}
        }
    }
}

#[test]
fn catalogue_lists_exactly_the_events_of_the_code() {
    let in_code: Vec<_> = ALL_EVENTS
        .iter()
        .map(|e| (format!("RR{:04}", e.number), e.name.to_owned()))
        .collect();
    let in_docs: Vec<_> = catalogue_rows()
        .into_iter()
        .map(|[number, name, ..]| (number, name))
        .collect();
    assert_eq!(in_docs, in_code, "docs/events.md lists the events in order");
}

#[test]
fn catalogue_states_meaning_and_action_of_each_event() {
    for [number, _, meaning, action] in catalogue_rows() {
        assert!(!meaning.is_empty(), "{number} has a meaning");
        assert!(!action.is_empty(), "{number} has an action");
    }
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    let numbers: Vec<_> = ALL_EVENTS.iter().map(|e| e.number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn every_event_is_logged_somewhere() {
    let constants = declared_constants();
    assert_eq!(constants.len(), ALL_EVENTS.len(), "every constant is found");
    let crates = repository_root().join("crates");
    let mut paths = Vec::new();
    for entry in fs::read_dir(crates).expect("the crates").flatten() {
        let is_events_crate = entry.file_name() == "events";
        let folder = entry.path().join("src");
        if !is_events_crate && folder.is_dir() {
            collect_sources(&folder, &mut paths);
        }
    }
    collect_sources(&repository_root().join("platform/src"), &mut paths);
    let code: String = paths.iter().map(|path| read_file(path)).collect();
    let words: Vec<_> = code
        .split(|c: char| !c.is_ascii_alphanumeric() && c != '_')
        .collect();
    for (constant, number) in constants {
        assert!(
            words.contains(&constant.as_str()),
            "{constant} ({number}) is unused"
        );
    }
}
