//! Resends, races and retention of changes of the configuration.

use roseridge_ledger::{
    CommandOutcome,
    LedgerChange,
    LedgerCommand,
    LedgerState,
    MAX_REMEMBERED_CHANGES,
    RefusalReason,
    TemplateChange, //
};
use roseridge_model::{
    ConfigRevision,
    RequestKey,
    UnixMillis, //
};

use crate::samples;

fn change(request: &str, base: u64) -> TemplateChange {
    TemplateChange {
        request: RequestKey::parse(request).expect("a name"),
        base: ConfigRevision(base),
        template: samples::template(false),
    }
}

fn apply(ledger: &mut LedgerState, change: &TemplateChange) -> CommandOutcome {
    let command = LedgerCommand {
        at: UnixMillis(0),
        change: LedgerChange::ChangeTemplate(change.clone()),
    };
    ledger.apply(ledger.applied + 1, command)
}

fn changed(revision: u64) -> CommandOutcome {
    let revision = ConfigRevision(revision);
    CommandOutcome::Changed { revision }
}

fn conflict(current: u64) -> CommandOutcome {
    let current = ConfigRevision(current);
    CommandOutcome::Refused(RefusalReason::RevisionConflict { current })
}

#[test]
fn equal_numbers_have_one_winner() {
    let mut ledger = LedgerState::default();
    assert_eq!(apply(&mut ledger, &change("a", 0)), changed(1));
    assert_eq!(apply(&mut ledger, &change("b", 0)), conflict(1));
    assert_eq!(ledger.revision, ConfigRevision(1));
}

/// A resend gets its first answer, also from a state that was written down and read back.
#[test]
fn resend_gets_its_first_answer() {
    let mut ledger = LedgerState::default();
    for base in 0..MAX_REMEMBERED_CHANGES as u64 {
        apply(&mut ledger, &change(&format!("change-{base}"), base));
    }
    let bytes = postcard::to_stdvec(&ledger).expect("the state can be written");
    let mut ledger: LedgerState = postcard::from_bytes(&bytes).expect("the state can be read");
    for base in 0..MAX_REMEMBERED_CHANGES as u64 {
        let resend = change(&format!("change-{base}"), base);
        assert_eq!(apply(&mut ledger, &resend), changed(base + 1));
    }
    assert_eq!(
        ledger.revision,
        ConfigRevision(MAX_REMEMBERED_CHANGES as u64)
    );
}

#[test]
fn request_id_stands_for_one_change() {
    let mut ledger = LedgerState::default();
    apply(&mut ledger, &change("a", 0));
    let refused = CommandOutcome::Refused(RefusalReason::RequestReused);
    assert_eq!(apply(&mut ledger, &change("a", 1)), refused);
}

/// Past its retention a resend is refused; it never takes effect twice.
#[test]
fn forgotten_request_is_refused() {
    let mut ledger = LedgerState::default();
    let count = MAX_REMEMBERED_CHANGES as u64 + 1;
    for base in 0..count {
        apply(&mut ledger, &change(&format!("change-{base}"), base));
    }
    assert_eq!(ledger.template_requests.len(), MAX_REMEMBERED_CHANGES);
    assert_eq!(apply(&mut ledger, &change("change-0", 0)), conflict(count));
    assert_eq!(apply(&mut ledger, &change("change-1", 1)), changed(2));
}
