//! Exit codes, and what the program does when answers are lost or entries gone.

use roseridge_testutils::{
    UnansweredAddress,
    cases, //
};

use crate::{
    fake_entry::{
        FakeAnswer,
        FakeEntry, //
    },
    program::run,
};

const NO_LEADER: &str = r#"{"type":"/problems/no-leader","status":503,
    "detail":"not run: this replica does not lead","not_run":true,"retry_after_s":1}"#;
const UNKNOWN: &str = r#"{"type":"/problems/outcome-unknown","status":504,"detail":"no reply"}"#;
const REFUSED: &str = r#"{"type":"/problems/unknown-job","status":404,"detail":"no such job"}"#;
const DRAINED: &str = r#"{"applied":true}"#;

/// A command line, the answers of two entries, and the exit code.
struct ExitCase {
    line: &'static str,
    answers: [Option<FakeAnswer>; 2],
    code: i32,
}

fn check(case: ExitCase) {
    let mut addresses = Vec::new();
    let mut entries = Vec::new();
    let mut unanswered = Vec::new();
    for answer in case.answers {
        match answer {
            Some(answer) => {
                let entry = FakeEntry::start(vec![answer]);
                addresses.push(entry.address.clone());
                entries.push(entry);
            }
            None => {
                let nobody = UnansweredAddress::reserve();
                addresses.push(nobody.address().to_string());
                unanswered.push(nobody);
            }
        }
    }
    let run = run(&addresses.join(","), case.line);
    assert_eq!(run.code, Some(case.code), "{}{}", run.stdout, run.stderr);
    let mut bodies: Vec<_> = entries.into_iter().map(body).collect();
    bodies.dedup();
    assert!(
        bodies.len() <= 1,
        "each entry gets the same request: {bodies:?}"
    );
}

fn body(entry: FakeEntry) -> String {
    let requests = entry.requests();
    let body = requests[0].split("\r\n\r\n").nth(1);
    body.unwrap_or_default().to_owned()
}

const DRAIN: &str = "worker drain worker-1";

cases! { check:
    second_entry_answers = ExitCase {
        line: DRAIN, answers: [None, Some(FakeAnswer::Reply(200, DRAINED))], code: 0,
    },
    lost_answer_is_resent_with_the_same_request = ExitCase {
        line: DRAIN,
        answers: [Some(FakeAnswer::Lost), Some(FakeAnswer::Reply(200, DRAINED))],
        code: 0,
    },
    entry_without_a_leader_is_passed_over = ExitCase {
        line: DRAIN,
        answers: [Some(FakeAnswer::Reply(503, NO_LEADER)), Some(FakeAnswer::Reply(200, DRAINED))],
        code: 0,
    },
    nobody_answers = ExitCase { line: DRAIN, answers: [None, None], code: 69 },
    no_leader_anywhere = ExitCase {
        line: DRAIN, answers: [None, Some(FakeAnswer::Reply(503, NO_LEADER))], code: 69,
    },
    lost_answer_leaves_the_outcome_unknown = ExitCase {
        line: DRAIN, answers: [Some(FakeAnswer::Lost), None], code: 75,
    },
    not_run_elsewhere_does_not_undo_a_lost_answer = ExitCase {
        line: DRAIN,
        answers: [Some(FakeAnswer::Lost), Some(FakeAnswer::Reply(503, NO_LEADER))],
        code: 75,
    },
    unknown_outcome = ExitCase {
        line: DRAIN, answers: [Some(FakeAnswer::Reply(504, UNKNOWN)), None], code: 75,
    },
    lost_answer_of_a_question_is_no_answer = ExitCase {
        line: "job show 1", answers: [Some(FakeAnswer::Lost), None], code: 69,
    },
    refusal = ExitCase {
        line: "job show 1", answers: [None, Some(FakeAnswer::Reply(404, REFUSED))], code: 1,
    },
    unreadable_answer = ExitCase {
        line: "job show 1", answers: [None, Some(FakeAnswer::Reply(200, "x"))], code: 70,
    },
    wrong_argument = ExitCase { line: "job show x", answers: [None, None], code: 64 },
    wrong_file = ExitCase {
        line: "template diff no-such-file", answers: [None, None], code: 65,
    },
    wrong_settings = ExitCase {
        line: "settings check --settings no-such-file", answers: [None, None], code: 78,
    },
}
