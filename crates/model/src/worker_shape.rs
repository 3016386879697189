//! The resources and the location of a worker.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    DomainName,
    RackName,
    ResourceShape, //
};

/// The description of a worker as its backend server announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerShape {
    /// The failure domain.
    pub domain: DomainName,
    /// The rack.
    pub rack: RackName,
    /// The total resources that tasks may use together.
    pub total: ResourceShape,
    /// The maximum number of tasks that the backend server runs at the same time.
    pub slots: u16,
    /// The maximum number of connections that the backend server accepts.
    pub connections: u16,
}
