//! Previews the effect of a template change without applying it.

use std::collections::BTreeSet;

use roseridge_model::{
    ConfigRevision,
    JobId,
    UnixMillis, //
};
use roseridge_policy::{
    DegradedGuarantee,
    PolicyDecision,
    decide,
    plan_guarantees, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    LedgerState,
    RefusalReason,
    TemplateChange, //
};

/// The predicted effect of a template change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TemplateEffect {
    /// The current revision.
    pub revision: ConfigRevision,
    /// Why the change would be refused, or `None` if it would be accepted.
    pub refused: Option<RefusalReason>,
    /// The number of guaranteed shapes that would have reserved places.
    #[serde(rename = "kept")]
    pub satisfied: u32,
    /// The guaranteed shapes that would have no reserved places for now.
    pub degraded: Vec<DegradedGuarantee>,
    /// The jobs that the change would cause to be preempted at once.
    pub stopped: Vec<JobId>,
    /// The jobs of other customers on the places reserved for this customer's guarantee, which may
    /// be preempted when the guarantee is used.
    #[serde(rename = "at_stake")]
    pub preemptible: Vec<JobId>,
}

impl LedgerState {
    /// Returns the effect that a template change would have at the time `now`.
    ///
    /// The preview evaluates the jobs by the current rules of their classes, so only changes of
    /// guarantees, ranks and limits affect its result.
    pub fn template_effect(&self, change: &TemplateChange, now: UnixMillis) -> TemplateEffect {
        let template = &change.template;
        let mut templates = self.templates.clone();
        templates.insert(template.customer.clone(), template.clone());
        let mut view = self.view(now);
        let before: BTreeSet<_> = preempted_jobs(decide(&view)).collect();
        view.templates = &templates;
        let plan = plan_guarantees(&view);
        let guarantees = plan.guarantees.iter();
        let own_guarantees = guarantees.filter(|place| place.customer == template.customer);
        let places: BTreeSet<_> = own_guarantees.flat_map(|place| &place.workers).collect();
        let preemptible = view.placed.iter().filter(|gang| {
            let mut workers = gang
                .workers
                .iter()
                .map(|position| view.workers[*position].name);
            *gang.customer != template.customer && workers.any(|name| places.contains(name))
        });
        TemplateEffect {
            revision: self.revision,
            refused: self.template_refusal(change),
            satisfied: u32::try_from(plan.guarantees.len()).unwrap_or(u32::MAX),
            preemptible: preemptible.map(|gang| gang.job).collect(),
            stopped: preempted_jobs(decide(&view))
                .filter(|job| !before.contains(job))
                .collect(),
            degraded: plan.degraded,
        }
    }

    /// Returns the reason why a template change would be refused, if it would be.
    fn template_refusal(&self, change: &TemplateChange) -> Option<RefusalReason> {
        match change.base == self.revision {
            true => self.check_template_guarantees(&change.template).err(),
            false => Some(RefusalReason::RevisionConflict {
                current: self.revision,
            }),
        }
    }
}

/// Returns the jobs that the decisions preempt.
fn preempted_jobs(decisions: Vec<PolicyDecision>) -> impl Iterator<Item = JobId> {
    decisions.into_iter().filter_map(|decision| match decision {
        PolicyDecision::Preempt { job, .. } => Some(job),
        _ => None,
    })
}
