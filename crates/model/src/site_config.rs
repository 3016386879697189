//! The whole configuration of an installation, as an operator sets it with a version of its own.

use std::collections::BTreeSet;

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

use crate::{
    CustomerName,
    DurationMs,
    FastSet,
    ServiceName, //
};

/// Where callers reach a queue: a host and the beginning of a path.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueKey {
    /// The host that the request names.
    pub host: String,
    /// The beginning of the path.
    pub prefix: String,
}

/// The rules of one queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueRule {
    /// Where callers reach it.
    pub key: QueueKey,
    /// The kind of backend server that runs its tasks.
    pub service: ServiceName,
    /// The rank of its flows; zero is the most urgent and may displace others.
    pub rank: u32,
    /// The failed runs of a task, or of a gang, after which its flow has failed.
    pub attempt_limit: u32,
    /// How many times its own run time a flow may take and still be on time, in percent.
    pub stretch_percent: u32,
    /// What a flow may take besides and still be on time.
    pub latency_target: DurationMs,
    /// The longest time for answering one request.
    pub answer_limit: DurationMs,
    /// Whether requests need no customer's key.
    pub open: bool,
}

/// The rules of one kind of backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// The kind.
    pub name: ServiceName,
    /// Whether its backend servers refuse what does not fit them.
    #[serde(rename = "guards_room")]
    pub enforces_capacity: bool,
}

/// The rules of one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRule {
    /// The customer.
    pub name: CustomerName,
    /// The keys that its callers may show.
    pub keys: Vec<String>,
    /// The accelerators that belong to its most urgent flows at any time.
    pub guaranteed: u32,
}

/// The whole configuration under one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConfig {
    /// The operator's version; the highest one is in force.
    pub version: u64,
    /// The configuration as the operator sent it, which is given back as it is.
    pub text: String,
    /// The queues.
    pub queues: Vec<QueueRule>,
    /// The kinds of backend server.
    pub services: Vec<ServiceRule>,
    /// The customers.
    pub customers: Vec<CustomerRule>,
}

/// Why a configuration is invalid.
#[derive(Debug, Snafu, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteConfigError {
    /// A queue names a service that is not there.
    #[snafu(display("the queue at {host}{prefix} names the unknown service {service}"))]
    UnknownService {
        /// The queue's host.
        host: String,
        /// The queue's prefix.
        prefix: String,
        /// The service.
        service: ServiceName,
    },
    /// Two queues share a host and a prefix.
    #[snafu(display("two queues stand at {host}{prefix}"))]
    SamePlace {
        /// The host.
        host: String,
        /// The prefix.
        prefix: String,
    },
    /// A queue gives no time for an answer.
    #[snafu(display("the queue at {host}{prefix} allows no time for an answer"))]
    NoAnswerTime {
        /// The queue's host.
        host: String,
        /// The queue's prefix.
        prefix: String,
    },
    /// Two customers share a key, or one key stands twice.
    #[snafu(display("the customers {first} and {second} share a key"))]
    SharedKey {
        /// One customer.
        first: CustomerName,
        /// The other customer.
        second: CustomerName,
    },
    /// Two services have one name.
    #[snafu(display("two services have the name {service}"))]
    SameService {
        /// The name.
        service: ServiceName,
    },
    /// Two customers have one name.
    #[snafu(display("two customers have the name {customer}"))]
    SameCustomer {
        /// The name.
        customer: CustomerName,
    },
}

impl SiteConfig {
    /// Checks what the parts must fulfil together.
    ///
    /// # Errors
    ///
    /// Returns a [`SiteConfigError`] for the first fault.
    pub fn check(&self) -> Result<(), SiteConfigError> {
        self.check_services()?;
        self.check_queues()?;
        self.check_customers()
    }

    fn check_services(&self) -> Result<(), SiteConfigError> {
        let mut names = BTreeSet::new();
        match self.services.iter().find(|s| !names.insert(&s.name)) {
            Some(twin) => SameServiceSnafu {
                service: twin.name.clone(),
            }
            .fail(),
            None => Ok(()),
        }
    }

    fn check_queues(&self) -> Result<(), SiteConfigError> {
        let mut places = BTreeSet::new();
        for queue in &self.queues {
            let QueueKey { host, prefix } = &queue.key;
            if !places.insert(&queue.key) {
                return SamePlaceSnafu { host, prefix }.fail();
            }
            if queue.answer_limit == DurationMs(0) {
                return NoAnswerTimeSnafu { host, prefix }.fail();
            }
            if self.service(&queue.service).is_none() {
                let service = queue.service.clone();
                return UnknownServiceSnafu {
                    host,
                    prefix,
                    service,
                }
                .fail();
            }
        }
        Ok(())
    }

    fn check_customers(&self) -> Result<(), SiteConfigError> {
        let mut names = FastSet::default();
        let mut owners = crate::FastMap::<&str, &CustomerName>::default();
        for customer in &self.customers {
            if !names.insert(&customer.name) {
                let customer = customer.name.clone();
                return SameCustomerSnafu { customer }.fail();
            }
            for key in &customer.keys {
                match owners.insert(key, &customer.name) {
                    Some(owner) if *owner != customer.name => {
                        let (first, second) = (owner.clone(), customer.name.clone());
                        return SharedKeySnafu { first, second }.fail();
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    /// Returns the rules of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// Returns the queue at a place.
    pub fn queue(&self, key: &QueueKey) -> Option<&QueueRule> {
        self.queues.iter().find(|q| q.key == *key)
    }

    /// Returns the queue with the longest prefix that a path begins with, under its host.
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&QueueRule> {
        let fitting = self.queues.iter().filter(|queue| {
            queue.key.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.key.prefix)
        });
        fitting.max_by_key(|queue| queue.key.prefix.len())
    }

    /// Returns the customer that a key belongs to.
    pub fn customer_with_key(&self, key: &str) -> Option<&CustomerRule> {
        self.customers
            .iter()
            .find(|c| c.keys.iter().any(|known| known == key))
    }

    /// Returns the accelerators that belong to a customer's most urgent flows.
    pub fn guaranteed(&self, customer: &CustomerName) -> u32 {
        let rule = self.customers.iter().find(|c| c.name == *customer);
        rule.map_or(0, |c| c.guaranteed)
    }
}
