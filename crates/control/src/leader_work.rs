//! What a replica does because it leads.

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
    leader_desk::{
        LeaderDesk,
        ProposalOwner, //
    },
    member_desk, next_change,
    replica_task::ReplicaTask,
};

impl ReplicaTask {
    /// Opens the leader's desk when this replica may serve, and closes it when it may not.
    pub(crate) fn follow_leadership(&mut self, now_ms: u64) {
        let serves = self.core.can_serve() && self.ledger_is_current();
        match (&self.desk, serves) {
            (None, true) => {
                info!("{}", events::LEADER_ELECTED.line(self.core.term()));
                let timing = (self.config.lease, self.config.flows);
                let desk = LeaderDesk::new(timing, &self.ledger, self.clock.wall(), now_ms);
                self.desk = Some(desk);
                self.propose_initial_templates();
            }
            (Some(_), false) if self.core.role() != ReplicaRole::Leader => {
                info!("{}", events::LEADER_RETIRED.line(self.core.term()));
                // Dropping the desk tells its callers that the outcome is not known.
                self.desk = None;
            }
            _ => {}
        }
    }

    /// Returns whether everything that was committed before this term is applied.
    fn ledger_is_current(&self) -> bool {
        self.desk.is_some() || self.core.applied_term() == self.core.term()
    }

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
            let _ = self.propose(LedgerChange::ChangeTemplate(change), ProposalOwner::Lease);
        }
    }

    pub(crate) fn lead(&mut self, now_ms: u64) {
        // Renewals and answers rest on the lead, so they wait while it is in doubt.
        if !self.core.can_serve() {
            return;
        }
        let change = match self.config.group {
            Some(rule) => {
                let seats = member_desk::group_seats(&self.core, rule.desired_voters());
                next_change(&seats)
            }
            None => member_desk::promotion(&self.core),
        };
        if let Some(change) = change {
            // A change that is pending, or a learner that fell back, is tried again later.
            let _ = self.core.propose_member_change(&change);
        }
        let Some(desk) = &mut self.desk else {
            return;
        };
        let wall = desk.stamp(now_ms);
        desk.rollout.follow(&self.ledger, now_ms);
        desk.answer_waiters(&self.ledger, now_ms);
        desk.relays.answer(&self.ledger, now_ms);
        let expired = desk.expired_workers(now_ms);
        let decisions = desk.next_decisions(&self.ledger, wall, now_ms);
        for (worker, incarnation) in expired {
            info!("{}", events::WORKER_LOST.line(&worker));
            let change = LedgerChange::LoseWorker {
                worker,
                incarnation,
            };
            self.propose_own(change, ProposalOwner::Lease);
        }
        let expiry = self
            .desk
            .as_mut()
            .and_then(|d| d.next_expiry(&self.ledger, now_ms));
        if let Some(change) = expiry {
            self.propose_own(change, ProposalOwner::Expiry);
        }
        if let Some(change) = decisions {
            self.propose_own(change, ProposalOwner::Scheduler);
        }
        self.lead_flows(now_ms);
    }

    /// Proposes a change of the leader's own, which comes again later if it can't be proposed now.
    pub(crate) fn propose_own(&mut self, change: LedgerChange, owner: ProposalOwner) {
        let proposed = self.propose(change, owner);
        if let (Err((_, owner)), Some(desk)) = (proposed, &mut self.desk) {
            desk.withdraw(&owner);
        }
    }

    /// Proposes a change; the owner hears of its commit only if this succeeds.
    pub(crate) fn propose(
        &mut self,
        change: LedgerChange,
        owner: ProposalOwner,
    ) -> Result<(), (CallError, ProposalOwner)> {
        let at = match &self.desk {
            Some(desk) => desk.stamp(self.clock.now_ms()),
            None => self.clock.wall(),
        };
        let command = LedgerCommand { at, change };
        let Ok(payload) = postcard::to_stdvec(&command) else {
            return Err((CallError::NotServing, owner));
        };
        let proposed = self.core.propose(payload);
        match (proposed, &mut self.desk) {
            (Ok(index), Some(desk)) => {
                desk.expect(index, self.core.term(), owner);
                Ok(())
            }
            (Err(ProposeError::Backlog), _) => Err((CallError::Overloaded, owner)),
            _ => Err((self.not_leader(), owner)),
        }
    }

    pub(crate) fn not_leader(&self) -> CallError {
        let leader = self.core.leader().filter(|id| *id != self.core.id());
        let record = leader.and_then(|id| self.core.members()?.get(id));
        CallError::NotLeader {
            leader: record.map(|m| m.address.clone()),
        }
    }
}
