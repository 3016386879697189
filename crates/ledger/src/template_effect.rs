//! What a change of a template would come to, without making it.

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

/// What a change of a template would come to now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TemplateEffect {
    /// The revision in force.
    pub revision: ConfigRevision,
    /// Why the change would be refused, if it would.
    pub refused: Option<RefusalReason>,
    /// The number of guaranteed shapes that would have reserved places.
    #[serde(rename = "kept")]
    pub satisfied: u32,
    /// The guaranteed shapes that could not be kept for now.
    pub degraded: Vec<DegradedGuarantee>,
    /// The jobs that would be stopped at once, and would not be without the change.
    pub stopped: Vec<JobId>,
    /// The jobs of other customers on the places reserved for this customer's guarantee, which may be
    /// preempted when the guarantee is used.
    #[serde(rename = "at_stake")]
    pub preemptible: Vec<JobId>,
}

impl LedgerState {
    /// Tells what a change of a template would come to at a time.
    ///
    /// The jobs keep the rules of the classes in force; only a change of guarantees, ranks and limits
    /// shows in what would be kept and stopped.
    pub fn template_effect(&self, change: &TemplateChange, now: UnixMillis) -> TemplateEffect {
        let template = &change.template;
        let mut templates = self.templates.clone();
        templates.insert(template.customer.clone(), template.clone());
        let mut view = self.view(now);
        let before: BTreeSet<_> = stopped_jobs(decide(&view)).collect();
        view.templates = &templates;
        let plan = plan_guarantees(&view);
        let own = plan.guarantees.iter();
        let own = own.filter(|place| place.customer == template.customer);
        let places: BTreeSet<_> = own.flat_map(|place| &place.workers).collect();
        let preemptible = view.placed.iter().filter(|gang| {
            let mut workers = gang.workers.iter().map(|at| view.workers[*at].name);
            *gang.customer != template.customer && workers.any(|name| places.contains(name))
        });
        TemplateEffect {
            revision: self.revision,
            refused: self.template_refusal(change),
            satisfied: u32::try_from(plan.guarantees.len()).unwrap_or(u32::MAX),
            preemptible: preemptible.map(|gang| gang.job).collect(),
            stopped: stopped_jobs(decide(&view))
                .filter(|job| !before.contains(job))
                .collect(),
            degraded: plan.degraded,
        }
    }

    fn template_refusal(&self, change: &TemplateChange) -> Option<RefusalReason> {
        match change.base == self.revision {
            true => self.check_guaranteed(&change.template).err(),
            false => Some(RefusalReason::RevisionConflict {
                current: self.revision,
            }),
        }
    }
}

fn stopped_jobs(decisions: Vec<PolicyDecision>) -> impl Iterator<Item = JobId> {
    decisions.into_iter().filter_map(|decision| match decision {
        PolicyDecision::Preempt { job, .. } => Some(job),
        _ => None,
    })
}
