//! Checks that invalid settings of an entry are rejected with the line of the error and a helpful
//! message.

use roseridge_settings::read_serve_settings;
use roseridge_testutils::cases;

use crate::bad_change::BadChange;

const VALID: &str = include_str!("../../../../samples/entry-1.toml");

fn check(change: BadChange) {
    change.assert_rejected(VALID, |path| read_serve_settings(path).err());
}

cases! { check:
    unknown_field = BadChange {
        from: "name = \"entry-1\"",
        to: "nam = \"entry-1\"",
        line: 4,
        message: "unknown field `nam`, expected one of `name`, `cluster`, `domain`",
    },
    bad_address = BadChange {
        from: "callers = \"127.0.0.1:7111\"",
        to: "callers = \"127.0.0.1\"",
        line: 9,
        message: "invalid socket address syntax",
    },
    bad_domain = BadChange {
        from: "domain = \"domain-1\"",
        to: "domain = \"domain 1\"",
        line: 6,
        message: "not ' '",
    },
    replica_not_listed = BadChange {
        from: "replica = 1",
        to: "replica = 9",
        line: 14,
        message: "one of the entries under [[replicas]]",
    },
    replica_listed_twice = BadChange {
        from: "id = 2",
        to: "id = 1",
        line: 17,
        message: "its own id",
    },
    short_election = BadChange {
        from: "[control]",
        to: "[timing]\nelection_min_ms = 100\n\n[control]",
        line: 13,
        message: "at least 450, three heartbeats",
    },
    short_margin = BadChange {
        from: "[control]",
        to: "[timing]\nlease_ms = 60000\n\n[control]",
        line: 13,
        message: "at least 1200, a fiftieth of lease_ms",
    },
    no_connections = BadChange {
        from: "[control]",
        to: "[limits]\nconnections = 0\n\n[control]",
        line: 13,
        message: "at least 1 for connections",
    },
}
