//! The configuration of an installation, which operators set as a whole under their own versions.

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

/// The address of a queue: a host and a path prefix.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueKey {
    /// The host of a request's URL.
    pub host: String,
    /// The prefix of a request's path.
    pub prefix: String,
}

/// The rules of one queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QueueRule {
    /// The address of the queue.
    pub key: QueueKey,
    /// The service whose backend servers run its tasks.
    pub service: ServiceName,
    /// The rank of its flows; zero is the most urgent and may preempt others.
    pub rank: u32,
    /// The number of failed runs of a task or a gang after which its flow fails.
    pub attempt_limit: u32,
    /// The multiple of its own run time, in percent, that a flow may take and still be on time.
    pub stretch_percent: u32,
    /// The time that a flow may take in addition to `stretch_percent` of its run time and still be
    /// on time.
    pub latency_target: DurationMs,
    /// The maximum time for answering one request.
    pub answer_limit: DurationMs,
    /// Whether requests are accepted without a customer's key.
    pub open: bool,
}

/// The rules of one kind of backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRule {
    /// The name of the service.
    pub name: ServiceName,
    /// Whether its backend servers themselves refuse tasks that exceed their free resources.
    #[serde(rename = "guards_room")]
    pub enforces_capacity: bool,
}

/// The rules of one customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerRule {
    /// The name of the customer.
    pub name: CustomerName,
    /// The keys with which its callers authenticate.
    pub keys: Vec<String>,
    /// The number of accelerators guaranteed to its most urgent flows at any time.
    pub guaranteed: u32,
}

/// A complete configuration under one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SiteConfig {
    /// The version that the operator assigned; the highest one is in force.
    pub version: u64,
    /// The configuration as the operator sent it, which is returned unchanged on request.
    pub text: String,
    /// The queues.
    pub queues: Vec<QueueRule>,
    /// The services, which are the kinds of backend server.
    pub services: Vec<ServiceRule>,
    /// The customers.
    pub customers: Vec<CustomerRule>,
}

/// The reason for which a configuration is invalid.
#[derive(Debug, Snafu, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SiteConfigError {
    /// A queue names a service that is not configured.
    #[snafu(display("the queue at {host}{prefix} names the unknown service {service}"))]
    UnknownService {
        /// The queue's host.
        host: String,
        /// The queue's prefix.
        prefix: String,
        /// The unknown service.
        service: ServiceName,
    },
    /// Two queues have the same host and prefix.
    #[snafu(display("two queues have the address {host}{prefix}"))]
    SamePlace {
        /// The queues' host.
        host: String,
        /// The queues' prefix.
        prefix: String,
    },
    /// A queue allows no time for an answer.
    #[snafu(display("the queue at {host}{prefix} allows no time for an answer"))]
    NoAnswerTime {
        /// The queue's host.
        host: String,
        /// The queue's prefix.
        prefix: String,
    },
    /// Two customers have the same key.
    #[snafu(display("the customers {first} and {second} share a key"))]
    SharedKey {
        /// One customer.
        first: CustomerName,
        /// The other customer.
        second: CustomerName,
    },
    /// Two services have the same name.
    #[snafu(display("two services have the name {service}"))]
    SameService {
        /// The name that occurs twice.
        service: ServiceName,
    },
    /// Two customers have the same name.
    #[snafu(display("two customers have the name {customer}"))]
    SameCustomer {
        /// The name that occurs twice.
        customer: CustomerName,
    },
}

impl SiteConfig {
    /// Checks that names, addresses and keys are not shared, and that every queue has a configured
    /// service and a time for answers.
    ///
    /// # Errors
    ///
    /// Returns a [`SiteConfigError`] for the first error found.
    pub fn check(&self) -> Result<(), SiteConfigError> {
        self.check_services()?;
        self.check_queues()?;
        self.check_customers()
    }

    /// Checks that the names of services are unique.
    fn check_services(&self) -> Result<(), SiteConfigError> {
        let mut names = BTreeSet::new();
        match self.services.iter().find(|s| !names.insert(&s.name)) {
            Some(duplicate) => SameServiceSnafu {
                service: duplicate.name.clone(),
            }
            .fail(),
            None => Ok(()),
        }
    }

    /// Checks the addresses, answer times and services of queues.
    fn check_queues(&self) -> Result<(), SiteConfigError> {
        let mut keys = BTreeSet::new();
        for queue in &self.queues {
            let QueueKey { host, prefix } = &queue.key;
            if !keys.insert(&queue.key) {
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

    /// Checks that the names of customers are unique and that no two customers share a key.
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

    /// Returns the rules of a service, if it is configured.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// Returns the rules of the queue with an address, if it is configured.
    pub fn queue(&self, key: &QueueKey) -> Option<&QueueRule> {
        self.queues.iter().find(|q| q.key == *key)
    }

    /// Returns the queue that serves a request: of the queues with its host, the one with the
    /// longest prefix that matches its path.
    ///
    /// Hosts are compared without regard to ASCII case.
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&QueueRule> {
        let matching = self.queues.iter().filter(|queue| {
            queue.key.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.key.prefix)
        });
        matching.max_by_key(|queue| queue.key.prefix.len())
    }

    /// Returns the rules of the customer that owns a key, if there is one.
    pub fn customer_with_key(&self, key: &str) -> Option<&CustomerRule> {
        self.customers
            .iter()
            .find(|c| c.keys.iter().any(|known| known == key))
    }

    /// Returns the number of accelerators guaranteed to a customer, or zero if it is unknown.
    pub fn guaranteed(&self, customer: &CustomerName) -> u32 {
        let rule = self.customers.iter().find(|c| c.name == *customer);
        rule.map_or(0, |c| c.guaranteed)
    }
}
