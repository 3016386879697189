//! Guards against wrong exit codes, and against a lost reply that is reported as a definite outcome.
//!
//! An entry may apply a change although its reply is lost. The program then tries the next entry
//! with the same request, and reports an unknown outcome if no entry gives a definite reply.

use roseridge_testutils::{
    UnansweredAddress,
    cases, //
};

use crate::{
    fake_entry::{
        FakeEntry,
        FakeReply, //
    },
    program::run,
};

const NO_LEADER: &str = r#"{"type":"/problems/no-leader","status":503,
    "detail":"not run: this replica does not lead","not_run":true,"retry_after_s":1}"#;
const UNKNOWN: &str = r#"{"type":"/problems/outcome-unknown","status":504,"detail":"no reply"}"#;
const REFUSED: &str = r#"{"type":"/problems/unknown-job","status":404,"detail":"no such job"}"#;
const DRAINED: &str = r#"{"applied":true}"#;

/// A command line, the replies of two entries (`None`: connection refused) and the exit code.
struct ExitCase {
    line: &'static str,
    replies: [Option<FakeReply>; 2],
    code: i32,
}

fn check(case: ExitCase) {
    let mut addresses = Vec::new();
    let mut entries = Vec::new();
    let mut refusing_addresses = Vec::new();
    for reply in case.replies {
        match reply {
            Some(reply) => {
                let entry = FakeEntry::start(vec![reply]);
                addresses.push(entry.address.clone());
                entries.push(entry);
            }
            None => {
                let refusing = UnansweredAddress::reserve();
                addresses.push(refusing.address().to_string());
                refusing_addresses.push(refusing);
            }
        }
    }
    let run = run(&addresses.join(","), case.line);
    assert_eq!(run.code, Some(case.code), "{}{}", run.stdout, run.stderr);
    let mut bodies: Vec<_> = entries.into_iter().map(body).collect();
    bodies.dedup();
    assert!(
        bodies.len() <= 1,
        "all entries receive the same request: {bodies:?}"
    );
}

/// Returns the body of the first request that an entry received.
fn body(entry: FakeEntry) -> String {
    let requests = entry.requests();
    let body = requests[0].split("\r\n\r\n").nth(1);
    body.unwrap_or_default().to_owned()
}

const DRAIN: &str = "worker drain worker-1";

cases! { check:
    second_entry_is_tried = ExitCase {
        line: DRAIN, replies: [None, Some(FakeReply::Sent(200, DRAINED))], code: 0,
    },
    lost_reply_is_retried_with_the_same_request = ExitCase {
        line: DRAIN,
        replies: [Some(FakeReply::Lost), Some(FakeReply::Sent(200, DRAINED))],
        code: 0,
    },
    entry_without_a_leader_is_skipped = ExitCase {
        line: DRAIN,
        replies: [Some(FakeReply::Sent(503, NO_LEADER)), Some(FakeReply::Sent(200, DRAINED))],
        code: 0,
    },
    no_entry_replies = ExitCase { line: DRAIN, replies: [None, None], code: 69 },
    no_entry_finds_the_leader = ExitCase {
        line: DRAIN, replies: [None, Some(FakeReply::Sent(503, NO_LEADER))], code: 69,
    },
    lost_reply_leaves_the_outcome_unknown = ExitCase {
        line: DRAIN, replies: [Some(FakeReply::Lost), None], code: 75,
    },
    not_run_reply_does_not_resolve_an_earlier_lost_reply = ExitCase {
        line: DRAIN,
        replies: [Some(FakeReply::Lost), Some(FakeReply::Sent(503, NO_LEADER))],
        code: 75,
    },
    unknown_outcome_reply = ExitCase {
        line: DRAIN, replies: [Some(FakeReply::Sent(504, UNKNOWN)), None], code: 75,
    },
    lost_reply_to_a_read_counts_as_no_reply = ExitCase {
        line: "job show 1", replies: [Some(FakeReply::Lost), None], code: 69,
    },
    refusal = ExitCase {
        line: "job show 1", replies: [None, Some(FakeReply::Sent(404, REFUSED))], code: 1,
    },
    unparsable_reply = ExitCase {
        line: "job show 1", replies: [None, Some(FakeReply::Sent(200, "x"))], code: 70,
    },
    invalid_argument = ExitCase { line: "job show x", replies: [None, None], code: 64 },
    missing_file = ExitCase {
        line: "template diff no-such-file", replies: [None, None], code: 65,
    },
    missing_settings_file = ExitCase {
        line: "settings check --settings no-such-file", replies: [None, None], code: 78,
    },
}
