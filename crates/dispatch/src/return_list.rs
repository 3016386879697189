//! The callers who were refused and told when to return.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use roseridge_model::{
    CustomerName,
    DurationMs,
    FlowId, //
};

/// The maximum number of expected returns of one customer; more push out the oldest.
const MAX_PER_CUSTOMER: usize = 64;
/// The maximum number of customers; more are not recorded. The expected size is 44 customers.
const MAX_CUSTOMERS: usize = 256;
/// The time after which a caller who has not returned when told is not expected any more, in
/// milliseconds. Callers wait for at least the whole seconds that they are told.
const RETURN_GRACE_MS: u64 = 1_000;
/// The unit of the times that callers are told, in milliseconds.
const TOLD_UNIT_MS: u64 = 1_000;

/// A refused submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedFlow {
    /// The flow.
    pub flow: FlowId,
    /// Its rank.
    pub rank: u32,
    /// Its work, in milliseconds of a whole worker.
    pub work: DurationMs,
    /// The time for which its caller keeps trying from the first attempt on.
    pub patience: DurationMs,
}

/// A caller who is expected to return.
#[derive(Debug, Clone, Copy)]
struct ExpectedReturn {
    refused: RefusedFlow,
    first_ms: u64,
    due_ms: u64,
}

/// The callers who were refused and are expected to return.
///
/// Load pattern: many callers are refused at once and come back together. Each is told the time at which
/// the flow is expected to be served if all who were refused before it return as told, so the returns
/// spread over the capacity that becomes free. Who returns goes before newcomers of the same customer.
/// Only callers who are still trying at the time that they are told are recorded, and each entry is
/// removed a second after it is due, so a caller who never returns costs nothing.
#[derive(Debug, Clone, Default)]
pub struct ReturnList {
    customers: BTreeMap<Option<CustomerName>, VecDeque<ExpectedReturn>>,
}

impl ReturnList {
    /// Removes the callers who have not returned in time.
    pub fn expire(&mut self, now_ms: u64) {
        self.customers.retain(|_, returns| {
            returns.retain(|expected| now_ms <= expected.due_ms + RETURN_GRACE_MS);
            !returns.is_empty()
        });
    }

    /// Returns the number of callers who are expected to return.
    pub fn len(&self) -> usize {
        self.customers.values().map(VecDeque::len).sum()
    }

    /// Returns whether nobody is expected to return.
    pub fn is_empty(&self) -> bool {
        self.customers.is_empty()
    }

    /// Returns the work of the callers who go before a submission: those of the same customer who were
    /// refused before, of its rank or a more urgent one. Nobody goes before a caller who returns, except
    /// those who were refused earlier.
    pub fn work_ahead(
        &self,
        customer: Option<&CustomerName>,
        flow: FlowId,
        rank: u32,
    ) -> DurationMs {
        let Some(returns) = self.customers.get(&customer.cloned()) else {
            return DurationMs(0);
        };
        let earlier = returns.iter().take_while(|e| e.refused.flow != flow);
        let before = earlier.filter(|e| e.refused.rank <= rank);
        DurationMs(before.map(|e| e.refused.work.0).sum())
    }

    /// Removes a submission that is accepted or withdrawn.
    pub fn remove(&mut self, customer: Option<&CustomerName>, flow: FlowId) {
        self.take(customer, flow);
    }

    /// Records a refusal, and returns the time after which its caller should return.
    ///
    /// `wait_ms` is the time after which the flow alone could be served, and `workers` the capacity in
    /// thousandths of a whole worker.
    pub fn record(
        &mut self,
        customer: Option<&CustomerName>,
        refused: RefusedFlow,
        (wait, workers): (DurationMs, u64),
        now_ms: u64,
    ) -> DurationMs {
        let known = self.take(customer, refused.flow);
        let before = self.customers.values().flatten();
        let before = before.filter(|e| e.refused.rank <= refused.rank);
        let work_ms: u64 = before.map(|e| e.refused.work.0).sum();
        let spread_ms = work_ms.saturating_mul(1_000) / workers.max(1);
        let told_ms = (wait.0 + spread_ms).div_ceil(TOLD_UNIT_MS).max(1) * TOLD_UNIT_MS;
        let first_ms = known.map_or(now_ms, |expected| expected.first_ms);
        let due_ms = now_ms + told_ms;
        let has_room = self.customers.len() < MAX_CUSTOMERS;
        if due_ms <= first_ms + refused.patience.0 && has_room {
            let returns = self.customers.entry(customer.cloned()).or_default();
            if returns.len() >= MAX_PER_CUSTOMER {
                returns.pop_front();
            }
            let expected = ExpectedReturn {
                refused,
                first_ms,
                due_ms,
            };
            // Who was refused first goes first, also after a second refusal.
            let at = returns.partition_point(|e| e.first_ms <= first_ms);
            returns.insert(at, expected);
        }
        DurationMs(told_ms)
    }

    fn take(&mut self, customer: Option<&CustomerName>, flow: FlowId) -> Option<ExpectedReturn> {
        let returns = self.customers.get_mut(&customer.cloned())?;
        let at = returns.iter().position(|e| e.refused.flow == flow)?;
        let taken = returns.remove(at);
        if returns.is_empty() {
            self.customers.remove(&customer.cloned());
        }
        taken
    }
}
