//! Changes of customers' templates.

use roseridge_model::ConfigRevision;

use crate::{
    CommandOutcome,
    LedgerState,
    RefusalReason,
    TemplateChange, //
};

/// The number of accepted changes whose outcomes are kept to answer resends.
pub const MAX_REMEMBERED_CHANGES: usize = 1_024;

impl LedgerState {
    /// Changes a template once; a resend of the same change returns the first outcome again.
    ///
    /// The outcomes of the newest [`MAX_REMEMBERED_CHANGES`] accepted changes are kept. A resend of
    /// an older one is refused because its base revision is outdated, so it never takes effect
    /// twice.
    pub(crate) fn change_template(&mut self, change: TemplateChange) -> CommandOutcome {
        match self.template_requests.get(&change.request) {
            Some((known, outcome)) if *known == change => return outcome.clone(),
            Some(_) => return CommandOutcome::Refused(RefusalReason::RequestReused),
            None => {}
        }
        if change.base != self.revision {
            return CommandOutcome::Refused(RefusalReason::RevisionConflict {
                current: self.revision,
            });
        }
        if let Err(reason) = self.check_template_guarantees(&change.template) {
            return CommandOutcome::Refused(reason);
        }
        self.revision = ConfigRevision(self.revision.0 + 1);
        let outcome = CommandOutcome::Changed {
            revision: self.revision,
        };
        let template = change.template.clone();
        self.templates.insert(template.customer.clone(), template);
        self.template_requests
            .insert(change.request.clone(), (change, outcome.clone()));
        self.forget_oldest_change();
        outcome
    }

    /// Drops the outcome with the lowest base revision once there are too many.
    fn forget_oldest_change(&mut self) {
        if self.template_requests.len() <= MAX_REMEMBERED_CHANGES {
            return;
        }
        let oldest = self.template_requests.iter();
        let oldest = oldest.min_by_key(|(_, (change, _))| change.base);
        let oldest = oldest.map(|(request, _)| request.clone());
        oldest.and_then(|request| self.template_requests.remove(&request));
    }
}
