//! The work of a replica while it leads the control group.

use log::info;
use roseridge_events as events;
use roseridge_ledger::{
    LedgerChange,
    LedgerCommand,
    TemplateChange, //
};
use roseridge_model::{
    ConfigRevision,
    RequestKey, //
};
use roseridge_quorum::{
    ProposeError,
    ReplicaRole, //
};
use roseridge_wire::CallError;

use crate::{
    leader_controller::{
        LeaderController,
        ProposalOwner, //
    },
    membership,
    next_member_change, //
    replica_task::ReplicaTask,
};

impl ReplicaTask {
    /// Creates the leader's state once this replica may serve, and drops it once it no longer
    /// leads.
    pub(crate) fn update_leadership(&mut self, now_ms: u64) {
        let is_ready = self.core.can_serve() && self.is_ledger_current();
        match (&self.controller, is_ready) {
            (None, true) => {
                info!("{}", events::LEADER_ELECTED.line(self.core.term()));
                let timing = (self.config.lease, self.config.flows);
                let controller =
                    LeaderController::new(timing, &self.ledger, self.clock.wall_time(), now_ms);
                self.controller = Some(controller);
                self.propose_initial_templates();
            }
            (Some(_), false) if self.core.role() != ReplicaRole::Leader => {
                info!("{}", events::LEADER_RETIRED.line(self.core.term()));
                // Dropping the controller drops its pending replies, so the outcome of these calls
                // is unknown to their callers.
                self.controller = None;
            }
            _ => {}
        }
    }

    /// Returns whether all entries that were committed before this term are applied.
    fn is_ledger_current(&self) -> bool {
        self.controller.is_some() || self.core.applied_term() == self.core.term()
    }

    /// Proposes the configured templates if the ledger has none.
    fn propose_initial_templates(&mut self) {
        if !self.ledger.templates.is_empty() {
            return;
        }
        for (number, template) in self
            .config
            .initial_templates
            .clone()
            .into_iter()
            .enumerate()
        {
            let request = format!("first-template-{}", template.customer);
            let Ok(request) = RequestKey::parse(&request) else {
                continue;
            };
            let base = ConfigRevision(number as u64);
            let change = TemplateChange {
                request,
                base,
                template,
            };
            let _ = self.propose(
                LedgerChange::ChangeTemplate(change),
                ProposalOwner::Untracked,
            );
        }
    }

    /// Runs the leader's periodic work: membership, answers, leases, scheduling and expiry.
    pub(crate) fn lead(&mut self, now_ms: u64) {
        // Lease renewals and answers are valid only from the leader, so they wait while this
        // replica can't be sure that it still leads.
        if !self.core.can_serve() {
            return;
        }
        let change = match self.config.group {
            Some(rule) => {
                let status = membership::group_status(&self.core, rule.desired_voters());
                next_member_change(&status)
            }
            None => membership::change_to_promote(&self.core),
        };
        if let Some(change) = change {
            // The proposal fails if another change is pending or the learner has fallen behind. It
            // is retried in a later pass.
            let _ = self.core.propose_member_change(&change);
        }
        let Some(controller) = &mut self.controller else {
            return;
        };
        let now = controller.command_time(now_ms);
        controller.rollout.update_revision(&self.ledger, now_ms);
        controller.answer_waiters(&self.ledger, now_ms);
        controller.relays.answer_pending(&self.ledger, now_ms);
        let expired = controller.take_expired_workers(now_ms);
        let decisions = controller.next_decisions(&self.ledger, now, now_ms);
        for (worker, incarnation) in expired {
            info!("{}", events::WORKER_LOST.line(&worker));
            let change = LedgerChange::LoseWorker {
                worker,
                incarnation,
            };
            self.propose_internal(change, ProposalOwner::Untracked);
        }
        let expiry = self
            .controller
            .as_mut()
            .and_then(|c| c.next_expiry(&self.ledger, now_ms));
        if let Some(change) = expiry {
            self.propose_internal(change, ProposalOwner::Expiry);
        }
        if let Some(change) = decisions {
            self.propose_internal(change, ProposalOwner::Scheduler);
        }
        self.lead_flows(now_ms);
    }

    /// Proposes a change that the leader originates. If that fails, a later pass proposes it again.
    pub(crate) fn propose_internal(&mut self, change: LedgerChange, owner: ProposalOwner) {
        let proposed = self.propose(change, owner);
        if let (Err((_, owner)), Some(controller)) = (proposed, &mut self.controller) {
            controller.abandon_proposal(&owner);
        }
    }

    /// Appends a change to the log and registers its owner for the outcome.
    ///
    /// # Errors
    ///
    /// Returns the error and the owner when too many entries are uncommitted or this replica does
    /// not lead. The owner is then not registered.
    pub(crate) fn propose(
        &mut self,
        change: LedgerChange,
        owner: ProposalOwner,
    ) -> Result<(), (CallError, ProposalOwner)> {
        let at = match &self.controller {
            Some(controller) => controller.command_time(self.clock.now_ms()),
            None => self.clock.wall_time(),
        };
        let command = LedgerCommand { at, change };
        let Ok(payload) = postcard::to_stdvec(&command) else {
            return Err((CallError::NotServing, owner));
        };
        let proposed = self.core.propose(payload);
        match (proposed, &mut self.controller) {
            (Ok(index), Some(controller)) => {
                controller.track_proposal(index, self.core.term(), owner);
                Ok(())
            }
            (Err(ProposeError::Backlog), _) => Err((CallError::Overloaded, owner)),
            _ => Err((self.not_leader_error(), owner)),
        }
    }

    /// Returns the error that redirects a caller to the leader, if the leader is known.
    pub(crate) fn not_leader_error(&self) -> CallError {
        let leader = self.core.leader().filter(|id| *id != self.core.id());
        let record = leader.and_then(|id| self.core.members()?.get(id));
        CallError::NotLeader {
            leader: record.map(|m| m.address.clone()),
        }
    }
}
