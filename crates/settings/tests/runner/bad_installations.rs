//! Settings of an installation that are refused, with the line and what would be right.

use std::fs;

use roseridge_settings::{
    is_installation_file,
    read_installation_settings, //
};
use roseridge_testutils::cases;

use crate::bad_change::BadChange;

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

fn check(change: BadChange) {
    change.check_refused(GOOD, |path| {
        assert!(is_installation_file(path).expect("a file that can be read"));
        read_installation_settings(path).err()
    });
}

#[test]
fn unchanged_settings_are_in_order() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("settings.toml");
    fs::write(&path, GOOD).expect("a written file");
    read_installation_settings(&path).expect("the settings are in order");
}

cases! { check:
    unknown_adapter = BadChange {
        from: "\"platform\"",
        to: "\"other\"",
        line: 6,
        says: "`platform`",
    },
    no_seeds = BadChange {
        from: "[\"127.0.0.1:8526\"]",
        to: "[]",
        line: 9,
        says: "at least one host",
    },
    seed_without_a_port = BadChange {
        from: "[\"127.0.0.1:8526\"]",
        to: "[\"127.0.0.1\"]",
        line: 9,
        says: "invalid socket address syntax",
    },
    no_part = BadChange {
        from: "[group]\noperators = \"127.0.0.1:8526\"\ndata_folder = \"/data\"\nfound = true\nlosses = 1\n",
        to: "",
        line: 9,
        says: "add a section callers, group or runner",
    },
    too_many_losses = BadChange {
        from: "losses = 1",
        to: "losses = 8",
        line: 14,
        says: "at most 7",
    },
    short_lease = BadChange {
        from: "lease_ms = 6000",
        to: "lease_ms = 1999",
        line: 16,
        says: "at least 2000",
    },
    unknown_field = BadChange {
        from: "restore_ms = 600",
        to: "restore_ms = 600\nremote = 3",
        line: 18,
        says: "unknown field `remote`",
    },
    short_election = BadChange {
        from: "[flows]",
        to: "[timing]\nelection_min_ms = 100\n[flows]",
        line: 15,
        says: "three heartbeats",
    },
}
