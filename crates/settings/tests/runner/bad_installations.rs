//! Settings of an installation that are refused, with the line and what would be right.

use std::fs;

use roseridge_settings::{
    names_installation,
    read_installation_settings, //
};
use roseridge_testutils::cases;

const GOOD: &str = r#"[instance]
name = "front-1"
cluster = "roseridge"
domain = "hall-a"
[installation]
adapter = "platform"
address = "127.0.0.1"
control_port = 7000
seeds = ["127.0.0.1:8526"]
[group]
operators = "127.0.0.1:8526"
data_folder = "/data"
found = true
losses = 1
[flows]
lease_ms = 6000
restore_ms = 600
"#;

/// A change of the good settings, the line of the error and a part of its text.
struct BadSettings {
    from: &'static str,
    to: &'static str,
    line: usize,
    says: &'static str,
}

fn check(bad: BadSettings) {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("settings.toml");
    fs::write(&path, GOOD).expect("a written file");
    assert!(names_installation(&path).expect("a file that can be read"));
    read_installation_settings(&path).expect("the settings are in order");
    assert!(GOOD.contains(bad.from), "there is a text to change");
    fs::write(&path, GOOD.replacen(bad.from, bad.to, 1)).expect("a written file");
    let error = read_installation_settings(&path).expect_err("the settings are wrong");
    let text = error.to_string();
    let place = format!("{}:{}:", path.display(), bad.line);
    assert!(text.starts_with(&place), "{text} names {place}");
    assert!(text.contains(bad.says), "{text} says {}", bad.says);
}

cases! { check:
    unknown_adapter = BadSettings {
        from: "\"platform\"",
        to: "\"other\"",
        line: 6,
        says: "`platform`",
    },
    no_seeds = BadSettings {
        from: "[\"127.0.0.1:8526\"]",
        to: "[]",
        line: 9,
        says: "at least one host",
    },
    seed_without_a_port = BadSettings {
        from: "[\"127.0.0.1:8526\"]",
        to: "[\"127.0.0.1\"]",
        line: 9,
        says: "invalid socket address syntax",
    },
    no_part = BadSettings {
        from: "[group]\noperators = \"127.0.0.1:8526\"\ndata_folder = \"/data\"\nfound = true\nlosses = 1\n",
        to: "",
        line: 9,
        says: "add a section callers, group or runner",
    },
    too_many_losses = BadSettings {
        from: "losses = 1",
        to: "losses = 8",
        line: 14,
        says: "at most 7",
    },
    short_lease = BadSettings {
        from: "lease_ms = 6000",
        to: "lease_ms = 1999",
        line: 16,
        says: "at least 2000",
    },
    unknown_field = BadSettings {
        from: "restore_ms = 600",
        to: "restore_ms = 600\nremote = 3",
        line: 18,
        says: "unknown field `remote`",
    },
    short_election = BadSettings {
        from: "[flows]",
        to: "[timing]\nelection_min_ms = 100\n[flows]",
        line: 15,
        says: "three heartbeats",
    },
}
