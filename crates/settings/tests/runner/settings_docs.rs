//! Checks that `docs/settings.md` lists exactly the fields of the settings structs, each with its
//! built-in default.

use std::{
    collections::BTreeSet,
    fs, //
};

use roseridge_settings::{
    SettingsError,
    default_settings,
    read_agent_settings,
    read_installation_settings,
    read_serve_settings, //
};
use roseridge_testutils::cases;

const PAGE: &str = include_str!("../../../../docs/settings.md");
const ENTRY: &str = include_str!("../../../../samples/entry-1.toml");
const AGENT: &str = include_str!("../../../../samples/agent-1.toml");
/// The settings of a process in an installation that runs every component.
const INSTALLATION: &str = r#"
[instance]
name = "front-1"
cluster = "roseridge"
domain = "hall-a"
[installation]
adapter = "platform"
address = "127.0.0.1"
control_port = 7000
seeds = ["127.0.0.1:8526"]
[callers]
listen = "127.0.0.1:8521"
health = "127.0.0.1:8523"
relay_port = 7015
[group]
operators = "127.0.0.1:8526"
data_folder = "/data"
found = true
losses = 1
[runner]
listen = "127.0.0.1:8526"
backend = "127.0.0.1:9000"
[flows]
lease_ms = 6000
restore_ms = 600
[timing]
"#;
/// A field that no section accepts.
const UNKNOWN: &str = "zz = 1";

/// The documentation of one kind of settings file: the heading on the page, a sample, and each
/// section with the text that opens it in the sample.
struct ProgramDocs {
    heading: &'static str,
    sample: &'static str,
    sections: &'static [(&'static str, &'static str)],
    read: fn(&std::path::Path) -> Option<SettingsError>,
}

/// Returns the fields that a section accepts, as listed by the error for an unknown field.
fn fields(docs: &ProgramDocs, opening: &str) -> BTreeSet<String> {
    let text = match opening {
        "" => format!("{UNKNOWN}\n{}", docs.sample),
        "token = {" => docs
            .sample
            .replacen(opening, &format!("{opening} {UNKNOWN},"), 1),
        opening if docs.sample.contains(opening) => {
            docs.sample
                .replacen(opening, &format!("{opening}\n{UNKNOWN}"), 1)
        }
        opening => format!("{}\n{opening}\n{UNKNOWN}\n", docs.sample),
    };
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("settings.toml");
    fs::write(&path, text).expect("write the settings");
    let error = (docs.read)(&path)
        .expect("an error for the unknown field")
        .to_string();
    let (_, expected) = error
        .split_once("expected")
        .expect("a list of known fields");
    expected
        .split('`')
        .skip(1)
        .step_by(2)
        .map(str::to_owned)
        .collect()
}

/// Returns the field and the default of each row in the table under a heading.
fn rows(heading: &str) -> Vec<(String, String)> {
    let (_, table_text) = PAGE.split_once(heading).expect("the heading");
    let table_text = table_text.split("\n## ").next().unwrap_or_default();
    let rows = table_text.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| {
        let cells: Vec<_> = row.split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 6, "{row} has four cells");
        assert!(
            !cells[3].is_empty() && !cells[4].is_empty(),
            "{row} has no empty cell"
        );
        (cells[1].trim_matches('`').to_owned(), cells[2].to_owned())
    })
    .collect()
}

fn check(docs: ProgramDocs) {
    let mut known = BTreeSet::new();
    for (section, opening) in docs.sections {
        known.extend(
            fields(&docs, opening)
                .iter()
                .map(|f| format!("{section}.{f}")),
        );
    }
    let sections: BTreeSet<_> = docs.sections.iter().map(|(s, _)| (*s).to_owned()).collect();
    let top_level: BTreeSet<_> = sections
        .iter()
        .filter(|s| !s.contains('.'))
        .cloned()
        .collect();
    assert_eq!(fields(&docs, ""), top_level, "every section is checked");
    // The table lists the fields of a section, not the section itself.
    known.retain(|field| !sections.contains(field));
    let listed: BTreeSet<_> = rows(docs.heading).into_iter().map(|(f, _)| f).collect();
    assert_eq!(listed, known);
}

cases! { check:
    entries = ProgramDocs {
        heading: "\n## Entries",
        sample: ENTRY,
        sections: &[
            ("instance", "[instance]"),
            ("listen", "[listen]"),
            ("control", "[control]"),
            ("replicas", "[[replicas]]"),
            ("timing", "[timing]"),
            ("limits", "[limits]"),
            ("customers", "[[customers]]"),
            ("customers.token", "token = {"),
            ("operators", "[[operators]]"),
            ("operators.token", "token = {"),
        ],
        read: |path| read_serve_settings(path).err(),
    },
    agents = ProgramDocs {
        heading: "\n## Agents",
        sample: AGENT,
        sections: &[
            ("instance", "[instance]"),
            ("worker", "[worker]"),
            ("control", "[control]"),
            ("replicas", "[[replicas]]"),
            ("timing", "[timing]"),
            ("limits", "[limits]"),
        ],
        read: |path| read_agent_settings(path).err(),
    },
    installations = ProgramDocs {
        heading: "\n## Installations",
        sample: INSTALLATION,
        sections: &[
            ("instance", "[instance]"),
            ("installation", "[installation]"),
            ("callers", "[callers]"),
            ("group", "[group]"),
            ("runner", "[runner]"),
            ("flows", "[flows]"),
            ("timing", "[timing]"),
        ],
        read: |path| read_installation_settings(path).err(),
    },
}

#[test]
fn documented_defaults_match_built_in_defaults() {
    let built_in = toml::Value::try_from(default_settings()).expect("a table");
    for (heading, limits) in [
        ("\n## Entries", "entry_limits"),
        ("\n## Agents", "agent_limits"),
    ] {
        let mut count = 0;
        for (field, default) in rows(heading) {
            let (section, name) = field.split_once('.').expect("a section");
            let section = match section {
                "timing" => "timing",
                "limits" => limits,
                _ => continue,
            };
            assert_eq!(built_in[section][name].to_string(), default, "{field}");
            count += 1;
        }
        let field_count = |name: &str| built_in[name].as_table().map_or(0, toml::Table::len);
        assert_eq!(count, field_count("timing") + field_count(limits));
    }
}
