//! The flows that were cancelled before their submission arrived.
//!
//! A copy of a submission may be forwarded after its caller has left, for instance by a relay during an election. If
//! the caller was told meanwhile that there is no such flow, the copy must not start it.

use std::collections::BTreeMap;

use roseridge_model::{
    CustomerName,
    DurationMs,
    FlowId,
    QueueKey,
    QueueRule,
    UnixMillis, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    FlowOutcome,
    FlowPhase,
    FlowRecord,
    FlowRefusal,
    FlowState, //
};

/// The time for which a withdrawal is kept. No copy of a submission is under way for longer: it is forwarded within two
/// seconds, and a process that forwards it may be paused for some more.
const WITHDRAWAL_RETENTION: DurationMs = DurationMs(60_000);
/// The time by which a removal may be delayed, so that one change removes many.
const EXPIRY_DELAY: DurationMs = DurationMs(5_000);
/// The maximum number of withdrawals that are kept, which bounds the state that cancellations of unknown flows occupy.
const MAX_WITHDRAWALS: usize = 16_384;

/// The cancellation of a flow whose submission had not arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct FlowWithdrawal {
    queue: QueueKey,
    customer: Option<CustomerName>,
    /// The time of the cancellation.
    at: UnixMillis,
}

/// The cancelled flows whose submissions had not arrived.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WithdrawnFlows(BTreeMap<FlowId, Vec<FlowWithdrawal>>);

impl WithdrawnFlows {
    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether no further flow can be recorded.
    pub fn is_full(&self) -> bool {
        self.0.len() >= MAX_WITHDRAWALS
    }

    /// Returns whether a submission to a queue by a customer was withdrawn before it arrived.
    pub fn contains(
        &self,
        flow: FlowId,
        queue: &QueueRule,
        customer: Option<&CustomerName>,
    ) -> bool {
        let withdrawals = self.0.get(&flow).into_iter().flatten();
        let mut own = withdrawals.filter(|withdrawal| {
            withdrawal.queue == queue.key
                && is_same_owner(withdrawal.customer.as_ref(), customer, queue)
        });
        own.next().is_some()
    }

    /// Returns the time at which the next ones are to be removed.
    pub(crate) fn next_expiry(&self) -> Option<UnixMillis> {
        let withdrawals = self.0.values().flatten();
        let oldest = withdrawals.map(|withdrawal| withdrawal.at).min()?;
        Some(oldest.plus(WITHDRAWAL_RETENTION).plus(EXPIRY_DELAY))
    }

    /// Removes those whose retention has ended.
    pub(crate) fn expire(&mut self, now: UnixMillis) {
        self.0.retain(|_, withdrawals| {
            withdrawals.retain(|withdrawal| now < withdrawal.at.plus(WITHDRAWAL_RETENTION));
            !withdrawals.is_empty()
        });
    }
}

/// Returns whether the owner of a flow and the customer of a request are the same. If one of them has no customer, the
/// queue must be open.
pub(crate) fn is_same_owner(
    owner: Option<&CustomerName>,
    customer: Option<&CustomerName>,
    queue: &QueueRule,
) -> bool {
    match (owner, customer) {
        (Some(owner), Some(customer)) => owner == customer,
        _ => queue.open,
    }
}

impl FlowState {
    /// Cancels a flow on behalf of a caller to whom it was unknown when the cancellation was proposed.
    ///
    /// If its submission has not arrived, that is recorded, and the submission is accepted as cancelled.
    pub(crate) fn withdraw(
        &mut self,
        flow: FlowId,
        queue: QueueKey,
        customer: Option<CustomerName>,
    ) -> FlowOutcome {
        let rule = self.config.as_ref().and_then(|c| c.queue(&queue));
        let Some(rule) = rule else {
            return FlowOutcome::Refused(FlowRefusal::UnknownQueue);
        };
        match self.flows.get(&flow) {
            Some(record) if record.is_visible_to(rule, customer.as_ref()) => self.cancel(flow),
            Some(_) => FlowOutcome::Refused(FlowRefusal::UnknownFlow),
            None => {
                let at = self.now;
                let withdrawals = self.withdrawn.0.entry(flow).or_default();
                withdrawals.retain(|w| w.queue != queue || w.customer != customer);
                withdrawals.push(FlowWithdrawal {
                    queue,
                    customer,
                    at,
                });
                FlowOutcome::Withdrawn
            }
        }
    }

    /// Adds the record of an accepted flow, which is cancelled if its submission was withdrawn before.
    pub(crate) fn add_flow(&mut self, flow: FlowId, record: FlowRecord) {
        let customer = record.customer.as_ref();
        let is_withdrawn = self.withdrawn.contains(flow, &record.queue, customer);
        self.flows.insert(flow, record);
        match is_withdrawn {
            true => self.finalize_flow(flow, FlowPhase::Cancelled { at: self.now }),
            false => {
                self.open.insert(flow);
            }
        }
    }
}
