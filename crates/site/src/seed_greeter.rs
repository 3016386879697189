//! Tells the seeds who the members of the control group are.

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

/// The time that a seed has to take note; it is told again with the next answer of the leader.
const GREETING_LIMIT: Duration = Duration::from_millis(600);

/// The internal addresses of the seeds, as the settings name them now.
pub(crate) type SeedList = Rc<RefCell<Vec<SocketAddr>>>;

/// Tells the seeds that are no members who the members are.
///
/// When every process restarts and all seeds are processes without a disk, nobody who asks a seed hears
/// of the group, and only the replicas know it, from their logs.
#[derive(Debug)]
pub(crate) struct SeedGreeter {
    own: SocketAddr,
    cluster: String,
    seeds: SeedList,
    links: RefCell<Vec<RpcLink>>,
}

impl SeedGreeter {
    /// Makes the greeter of the process with an internal address.
    pub(crate) fn new(own: SocketAddr, cluster: &str, seeds: SeedList) -> Self {
        Self {
            own,
            cluster: cluster.to_owned(),
            seeds,
            links: RefCell::default(),
        }
    }

    /// Tells them of the group that the leader named just now.
    pub(crate) fn tell(&self, group: &GroupView) {
        let members = group.members();
        let seeds = self.seeds.borrow();
        let strangers = seeds
            .iter()
            .filter(|seed| **seed != self.own && !members.contains(seed));
        let mut links = self.links.borrow_mut();
        let known = std::mem::take(&mut *links);
        for seed in strangers {
            let link = known.iter().find(|link| link.address() == *seed);
            let link = link
                .cloned()
                .unwrap_or_else(|| RpcLink::new(*seed, &self.cluster));
            links.push(link.clone());
            let call = ControlCall::Flow(Box::new(FlowCall::UpdateGroup(group.clone())));
            compio::runtime::spawn(async move {
                // A seed that is down finds the group by itself when it is back, or is told then.
                let _ = link.control(call, GREETING_LIMIT).await;
            })
            .detach();
        }
    }
}
