//! How the backend servers of a failure domain come back into use after its evacuation was withdrawn.

use roseridge_flow::BackendRecord;
use roseridge_model::{
    BackendId,
    ServiceName, //
};

use crate::DispatchView;

/// The time after a withdrawal from which all backend servers of the domain count again, in milliseconds.
/// It bounds how long a backend server that keeps reporting itself as cold reduces what is accepted.
const RETURN_LIMIT_MS: u64 = 60_000;

/// The backend servers of a service that admission takes into account.
#[derive(Debug)]
pub(crate) struct CountedBackends<'a> {
    /// Whether there are backend servers, and all of them are in evacuated domains.
    pub(crate) is_evacuated: bool,
    /// Those outside of evacuated domains, by whose shapes a flow may be refused.
    pub(crate) usable: Vec<&'a BackendRecord>,
    /// Those whose capacity counts.
    pub(crate) counted: Vec<&'a BackendRecord>,
}

/// Returns the backend servers of a service that admission takes into account.
///
/// If all that are left are returning, all of them count: there is no capacity in full use to which they
/// could be added gradually.
pub(crate) fn counted_backends<'a>(
    view: &DispatchView<'a>,
    service: &ServiceName,
) -> CountedBackends<'a> {
    let flows = view.flows;
    let present = flows.backends.iter();
    let present: Vec<_> = present
        .filter(|(_, b)| b.has_lease() && b.profile.service == *service)
        .collect();
    let usable = present.iter().filter(|(_, b)| !flows.is_evacuated(b));
    let (returning, in_use): (Vec<_>, Vec<_>) =
        usable.partition(|(id, b)| is_returning(view, id, b));
    let usable: Vec<_> = in_use.iter().chain(&returning).map(|(_, b)| *b).collect();
    let counted = match in_use.is_empty() {
        true => usable.clone(),
        false => in_use.iter().map(|(_, b)| *b).collect(),
    };
    CountedBackends {
        is_evacuated: usable.is_empty() && !present.is_empty(),
        usable,
        counted,
    }
}

/// Returns whether a backend server of a domain whose evacuation was withdrawn has not confirmed yet that
/// it can be used in full.
///
/// Load pattern: a domain returns in the middle of a load that the other domains could just carry, and its
/// backend servers are cold. If all of them counted at once, more flows would be accepted than are
/// completed in time. A backend server counts once its agent has reported since the withdrawal that it is
/// not cold. Until then it may receive work, after the backend servers that are in full use. Domains that
/// were never evacuated are not concerned.
pub(crate) fn is_returning(
    view: &DispatchView<'_>,
    backend: &BackendId,
    record: &BackendRecord,
) -> bool {
    let Some(restored) = view.flows.evacuations.restored(&record.profile.domain) else {
        return false;
    };
    let since_restored = view.now.since(restored);
    let is_confirmed = view.contacts.get(backend).is_some_and(|contact| {
        contact.since_contact < since_restored && contact.cold_remaining.0 == 0
    });
    since_restored.0 < RETURN_LIMIT_MS && !is_confirmed
}
