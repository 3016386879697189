//! Resends, races and retention of template changes.

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
        request: RequestKey::parse(request).expect("a valid key"),
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

/// Guards against a lost update when two operators change the same revision.
#[test]
fn only_first_change_on_same_base_is_accepted() {
    let mut ledger = LedgerState::default();
    assert_eq!(apply(&mut ledger, &change("a", 0)), changed(1));
    assert_eq!(apply(&mut ledger, &change("b", 0)), conflict(1));
    assert_eq!(ledger.revision, ConfigRevision(1));
}

/// Guards against a resend that is applied again or refused, also after the state was loaded from a
/// snapshot.
#[test]
fn resend_returns_first_outcome() {
    let mut ledger = LedgerState::default();
    for base in 0..MAX_REMEMBERED_CHANGES as u64 {
        apply(&mut ledger, &change(&format!("change-{base}"), base));
    }
    let bytes = postcard::to_stdvec(&ledger).expect("the state can be serialized");
    let mut ledger: LedgerState =
        postcard::from_bytes(&bytes).expect("the state can be deserialized");
    for base in 0..MAX_REMEMBERED_CHANGES as u64 {
        let resend = change(&format!("change-{base}"), base);
        assert_eq!(apply(&mut ledger, &resend), changed(base + 1));
    }
    assert_eq!(
        ledger.revision,
        ConfigRevision(MAX_REMEMBERED_CHANGES as u64)
    );
}

/// Guards against the answer of one change being returned for another change with the same key.
#[test]
fn request_key_with_other_change_is_refused() {
    let mut ledger = LedgerState::default();
    apply(&mut ledger, &change("a", 0));
    let refused = CommandOutcome::Refused(RefusalReason::RequestReused);
    assert_eq!(apply(&mut ledger, &change("a", 1)), refused);
}

/// Guards against a second application of a change whose outcome is no longer kept: its resend is
/// refused.
#[test]
fn resend_of_dropped_request_is_refused() {
    let mut ledger = LedgerState::default();
    let count = MAX_REMEMBERED_CHANGES as u64 + 1;
    for base in 0..count {
        apply(&mut ledger, &change(&format!("change-{base}"), base));
    }
    assert_eq!(ledger.template_requests.len(), MAX_REMEMBERED_CHANGES);
    assert_eq!(apply(&mut ledger, &change("change-0", 0)), conflict(count));
    assert_eq!(apply(&mut ledger, &change("change-1", 1)), changed(2));
}
