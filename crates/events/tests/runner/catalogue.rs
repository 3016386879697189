//! The catalogue of events in the docs, held against the code.

use std::{
    fs,
    path::{
        Path,
        PathBuf, //
    },
};

use roseridge_events::ALL_EVENTS;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the rows of the catalogue: number, name, meaning and what to do.
fn catalogue() -> Vec<[String; 4]> {
    let text = read(&repository().join("docs/events.md"));
    let rows = text.lines().filter(|line| line.starts_with("| RR"));
    rows.map(|row| {
        let cells: Vec<_> = row.trim_matches('|').split('|').map(str::trim).collect();
        let cells: [&str; 4] = cells.try_into().expect("a row has four cells");
        cells.map(str::to_owned)
    })
    .collect()
}

/// Returns the names of the constants, as the source of the crate declares them.
fn constants() -> Vec<(String, u16)> {
    let text = read(&repository().join("crates/events/src/lib.rs"));
    let declared = text.lines().filter_map(|line| {
        let (constant, rest) = line.trim().split_once(" = ")?;
        let number = rest.split(' ').next()?.parse().ok()?;
        let is_constant = constant.chars().all(|c| c.is_ascii_uppercase() || c == '_');
        is_constant.then(|| (constant.to_owned(), number))
    });
    declared.collect()
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a readable folder").flatten() {
        let path = entry.path();
        match path.extension() {
            _ if path.is_dir() => sources(&path, found),
            Some(kind) if kind == "rs" => found.push(path),
            _ => {}
        }
    }
}

#[test]
fn catalogue_and_code_agree_both_ways() {
    let in_code: Vec<_> = ALL_EVENTS
        .iter()
        .map(|e| (format!("RR{:04}", e.number), e.name.to_owned()))
        .collect();
    let in_docs: Vec<_> = catalogue()
        .into_iter()
        .map(|[number, name, ..]| (number, name))
        .collect();
    assert_eq!(in_docs, in_code, "docs/events.md lists the events in order");
}

#[test]
fn catalogue_says_what_each_event_means_and_asks() {
    for [number, _, meaning, action] in catalogue() {
        assert!(!meaning.is_empty(), "{number} has a meaning");
        assert!(!action.is_empty(), "{number} says what to do");
    }
}

#[test]
fn numbers_grow_and_occur_once() {
    let numbers: Vec<_> = ALL_EVENTS.iter().map(|e| e.number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
}

#[test]
fn every_event_is_logged_somewhere() {
    let constants = constants();
    assert_eq!(constants.len(), ALL_EVENTS.len(), "every constant is found");
    let crates = repository().join("crates");
    let mut paths = Vec::new();
    for entry in fs::read_dir(crates).expect("the crates").flatten() {
        let is_own = entry.file_name() == "events";
        let folder = entry.path().join("src");
        if !is_own && folder.is_dir() {
            sources(&folder, &mut paths);
        }
    }
    sources(&repository().join("platform/src"), &mut paths);
    let code: String = paths.iter().map(|path| read(path)).collect();
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
