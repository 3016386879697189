//! Log lines about evacuated failure domains.

use std::collections::BTreeMap;

use roseridge_events::{
    self as events,
    event, //
};
use roseridge_flow::{
    FlowOutcome,
    FlowState,
    StopCause,
    StopOrder,
    TaskPhase, //
};
use roseridge_model::DomainName;

use crate::evacuation_calls::remaining_counts;

/// Logs the outcome of an order to evacuate a domain or to withdraw that.
pub(crate) fn report_order(
    flows: &FlowState,
    (domain, base): (&DomainName, u64),
    outcome: &FlowOutcome,
    index: u64,
) {
    let current = flows.evacuations.revision(domain);
    let (backends, runs) = remaining_counts(flows, domain);
    match (outcome, flows.evacuations.since(domain)) {
        (FlowOutcome::Evacuated { changed, revision }, Some(since)) => {
            event!(
                info,
                events::DOMAIN_EVACUATED,
                domain = domain,
                changed = changed,
                revision = revision,
                since_ms = since.0,
                backends = backends,
                runs = runs,
                index = index
            );
            if !has_domain_left(flows) {
                let evacuated = flows.evacuations.evacuated().count();
                event!(
                    warn,
                    events::NO_DOMAIN_LEFT,
                    domain = domain,
                    evacuated = evacuated
                );
            }
        }
        (FlowOutcome::Evacuated { changed, revision }, None) => event!(
            info,
            events::DOMAIN_RESTORED,
            domain = domain,
            changed = changed,
            revision = revision,
            backends = backends,
            index = index
        ),
        (outcome, since) => event!(
            info,
            events::EVACUATION_REFUSED,
            domain = domain,
            base = base,
            revision = current,
            evacuated = since.is_some(),
            outcome = format!("{outcome:?}"),
            index = index
        ),
    }
}

/// Returns whether a backend server with a lease is outside of the evacuated domains, or there is
/// no backend server yet.
fn has_domain_left(flows: &FlowState) -> bool {
    let mut present = flows.backends.values().filter(|b| b.has_lease()).peekable();
    present.peek().is_none() || present.any(|record| !flows.is_evacuated(record))
}

/// Logs, for each evacuated domain in which a decision has stopped runs, how many it stopped and how
/// many remain.
pub(crate) fn report_progress(flows: &FlowState, stops: &[StopOrder]) {
    if flows.evacuations.evacuated().next().is_none() {
        return;
    }
    let mut stopped = BTreeMap::<&DomainName, usize>::new();
    for stop in stops.iter().filter(|stop| stop.cause == StopCause::Moved) {
        let task = flows.flows.get(&stop.run.task.flow);
        let phase = task.and_then(|flow| Some(&flow.task(stop.run.task)?.phase));
        let Some(TaskPhase::Placed { backend, .. }) = phase else {
            continue;
        };
        let record = flows.backends.get(backend);
        if let Some(record) = record.filter(|record| flows.is_evacuated(record)) {
            *stopped.entry(&record.profile.domain).or_default() += 1;
        }
    }
    for (domain, count) in stopped {
        let (_, runs) = remaining_counts(flows, domain);
        let since = flows.evacuations.since(domain).unwrap_or_default();
        event!(
            info,
            events::EVACUATION_PROGRESS,
            domain = domain,
            stopped = count,
            runs = runs,
            elapsed_ms = flows.now.since(since).0
        );
    }
}
