//! Notifies the seeds of the members of the control group.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc,
    time::Duration, //
};

use roseridge_wire::{
    ControlCall,
    FlowCall,
    GroupView,
    RpcLink, //
};

/// The maximum time for notifying a seed. The next answer of the leader repeats the notification.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(600);

/// The internal addresses of the seeds in the current settings.
pub(crate) type SeedList = Rc<RefCell<Vec<SocketAddr>>>;

/// Notifies the seeds that are not members of the control group of its members.
///
/// After a restart of all processes, only the replicas know the group, from their logs. If no seed
/// has a disk, a process that asks the seeds could not find the group without these notifications.
#[derive(Debug)]
pub(crate) struct SeedNotifier {
    own_address: SocketAddr,
    cluster: String,
    seeds: SeedList,
    links: RefCell<Vec<RpcLink>>,
}

impl SeedNotifier {
    /// Returns a notifier for the process with an internal address.
    pub(crate) fn new(own_address: SocketAddr, cluster: &str, seeds: SeedList) -> Self {
        Self {
            own_address,
            cluster: cluster.to_owned(),
            seeds,
            links: RefCell::default(),
        }
    }

    /// Sends the members that the leader just returned to each seed that is not a member.
    pub(crate) fn notify(&self, group: &GroupView) {
        let members = group.members();
        let seeds = self.seeds.borrow();
        let non_members = seeds
            .iter()
            .filter(|seed| **seed != self.own_address && !members.contains(seed));
        let mut links = self.links.borrow_mut();
        let open_links = std::mem::take(&mut *links);
        for seed in non_members {
            let link = open_links.iter().find(|link| link.address() == *seed);
            let link = link
                .cloned()
                .unwrap_or_else(|| RpcLink::new(*seed, &self.cluster));
            links.push(link.clone());
            let call = ControlCall::Flow(Box::new(FlowCall::UpdateGroup(group.clone())));
            compio::runtime::spawn(async move {
                // A seed that is down finds the group itself after its restart or is notified then.
                let _ = link.control(call, NOTIFY_TIMEOUT).await;
            })
            .detach();
        }
    }
}
