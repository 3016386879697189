//! Checks that invalid settings of an installation are rejected with the line of the error and a
//! helpful message.

use std::fs;

use roseridge_settings::{
    is_installation_file,
    read_installation_settings, //
};
use roseridge_testutils::cases;

use crate::bad_change::BadChange;

const VALID: &str = r#"[instance]
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
    change.assert_rejected(VALID, |path| {
        assert!(is_installation_file(path).expect("the file is readable"));
        read_installation_settings(path).err()
    });
}

#[test]
fn unchanged_settings_are_valid() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("settings.toml");
    fs::write(&path, VALID).expect("write the settings");
    read_installation_settings(&path).expect("the settings are valid");
}

cases! { check:
    unknown_adapter = BadChange {
        from: "\"platform\"",
        to: "\"other\"",
        line: 6,
        message: "`platform`",
    },
    grace_time_too_short = BadChange {
        from: "seeds = [\"127.0.0.1:8526\"]",
        to: "seeds = [\"127.0.0.1:8526\"]\nstop_grace_s = 0.5",
        line: 10,
        message: "from 1 to 3600",
    },
    no_seeds = BadChange {
        from: "[\"127.0.0.1:8526\"]",
        to: "[]",
        line: 9,
        message: "at least one host",
    },
    seed_without_a_port = BadChange {
        from: "[\"127.0.0.1:8526\"]",
        to: "[\"127.0.0.1\"]",
        line: 9,
        message: "invalid socket address syntax",
    },
    no_component = BadChange {
        from: "[group]\noperators = \"127.0.0.1:8526\"\ndata_folder = \"/data\"\nfound = true\nlosses = 1\n",
        to: "",
        line: 9,
        message: "add a section callers, group or runner",
    },
    too_many_losses = BadChange {
        from: "losses = 1",
        to: "losses = 8",
        line: 14,
        message: "at most 7",
    },
    short_lease = BadChange {
        from: "lease_ms = 6000",
        to: "lease_ms = 1999",
        line: 16,
        message: "at least 2000",
    },
    unknown_field = BadChange {
        from: "restore_ms = 600",
        to: "restore_ms = 600\nremote = 3",
        line: 18,
        message: "unknown field `remote`",
    },
    short_election = BadChange {
        from: "[flows]",
        to: "[timing]\nelection_min_ms = 100\n[flows]",
        line: 15,
        message: "three heartbeats",
    },
}
