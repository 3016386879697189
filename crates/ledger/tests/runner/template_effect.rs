//! The preview of a template change predicts its effect and leaves the state unchanged.

use roseridge_ledger::{
    CommandOutcome,
    LedgerChange,
    LedgerCommand,
    LedgerState,
    TemplateChange,
    TemplateEffect, //
};
use roseridge_model::{
    ConfigRevision,
    CustomerName,
    GangShape,
    IncarnationId,
    JobId,
    UnixMillis, //
};
use roseridge_policy::PolicyDecision;
use roseridge_testutils::cases;

use crate::samples;

/// The number of workers of the ledger under test; each has three accelerators.
const WORKERS: usize = 2;

fn apply(ledger: &mut LedgerState, change: LedgerChange) -> CommandOutcome {
    let at = UnixMillis(ledger.applied);
    ledger.apply(ledger.applied + 1, LedgerCommand { at, change })
}

/// Returns a ledger with one placed job, which belongs to a customer without guarantees.
fn busy_ledger() -> LedgerState {
    let mut ledger = LedgerState::default();
    for number in 0..WORKERS {
        let change = LedgerChange::AnnounceWorker {
            worker: samples::worker(number),
            incarnation: IncarnationId(1),
            shape: samples::shape(),
            found: Vec::new(),
            leaving: false,
        };
        apply(&mut ledger, change);
    }
    let first = TemplateChange {
        request: samples::key(0),
        base: ConfigRevision(0),
        template: samples::template(false),
    };
    apply(&mut ledger, LedgerChange::ChangeTemplate(first));
    let submit = LedgerChange::Submit {
        customer: samples::customer(),
        key: samples::key(1),
        spec: samples::spec(1, 1),
    };
    apply(&mut ledger, submit);
    let place = PolicyDecision::Place {
        job: JobId(1),
        workers: vec![samples::worker(0)],
    };
    apply(&mut ledger, LedgerChange::Decide(vec![place]));
    ledger
}

/// Previews a guarantee for another customer, of a gang with this number of members of one
/// accelerator each.
fn effect(ledger: &LedgerState, base: u64, members: u16) -> TemplateEffect {
    let mut template = samples::template(false);
    template.customer = CustomerName::parse("tuglink").expect("a valid name");
    template.guaranteed = vec![GangShape {
        members,
        ..samples::spec(1, 1).gang
    }];
    let change = TemplateChange {
        request: samples::key(2),
        base: ConfigRevision(base),
        template,
    };
    ledger.template_effect(&change, ledger.now)
}

/// A requested guarantee and its predicted effect.
struct EffectCase {
    base: u64,
    members: u16,
    is_refused: bool,
    satisfied: u32,
    degraded: usize,
    preemptible: &'static [u64],
}

fn check(case: EffectCase) {
    let ledger = busy_ledger();
    let before = ledger.clone();
    let effect = effect(&ledger, case.base, case.members);
    assert_eq!(ledger, before, "a preview leaves the state unchanged");
    assert_eq!(effect.revision, ConfigRevision(1));
    assert_eq!(effect.refused.is_some(), case.is_refused, "{effect:?}");
    assert_eq!(
        (effect.satisfied, effect.degraded.len()),
        (case.satisfied, case.degraded)
    );
    let preemptible: Vec<_> = effect.preemptible.iter().map(|job| job.0).collect();
    assert_eq!(preemptible, case.preemptible);
    assert_eq!(effect.stopped, [], "an unused guarantee preempts no job");
}

cases! { check:
    guarantee_fits_after_a_loss = EffectCase {
        base: 1, members: 3, is_refused: false, satisfied: 1, degraded: 0, preemptible: &[],
    },
    guarantee_fits_only_without_a_loss = EffectCase {
        base: 1, members: 6, is_refused: true, satisfied: 1, degraded: 0, preemptible: &[1],
    },
    guarantee_never_fits = EffectCase {
        base: 1, members: 7, is_refused: true, satisfied: 0, degraded: 1, preemptible: &[],
    },
    outdated_base_is_refused = EffectCase {
        base: 0, members: 3, is_refused: true, satisfied: 1, degraded: 0, preemptible: &[],
    },
}
