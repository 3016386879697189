//! Bounded sets of label values for customers, job classes and queues.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
};

/// The maximum number of customers, or queues, with labels of their own.
pub const MAX_CUSTOMERS: usize = 64;
/// The maximum number of classes of one customer with labels of their own.
pub const MAX_CLASSES: usize = 8;
/// The label of every customer, class and queue without a label of its own.
pub const OTHER_LABEL: &str = "other";

type KnownLabels = BTreeMap<String, BTreeSet<String>>;

/// The customers and classes with labels of their own. Clones share the same registry.
///
/// Only names from the configuration are admitted, up to [`MAX_CUSTOMERS`] and [`MAX_CLASSES`], so
/// that neither callers nor changes of the configuration can increase the number of series without
/// bound.
#[derive(Debug, Clone, Default)]
pub struct LabelRegistry(Arc<Mutex<KnownLabels>>);

impl LabelRegistry {
    /// Admits a customer and its classes up to the limits. Admitted names are never removed.
    pub fn admit<'a>(&self, customer: &str, classes: impl IntoIterator<Item = &'a str>) {
        let mut known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !known.contains_key(customer) && known.len() >= MAX_CUSTOMERS {
            return;
        }
        let admitted = known.entry(customer.to_owned()).or_default();
        for class in classes {
            if admitted.len() < MAX_CLASSES {
                admitted.insert(class.to_owned());
            }
        }
    }

    /// Returns the label of a customer, or of a queue if the registry is used for queues.
    pub fn label(&self, customer: &str) -> String {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let label = match known.contains_key(customer) {
            true => customer,
            false => OTHER_LABEL,
        };
        label.to_owned()
    }

    /// Returns the labels of a job for its customer and its class.
    pub fn job_labels(&self, customer: &str, class: &str) -> (String, String) {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (customer, class) = match known.get(customer) {
            Some(classes) if classes.contains(class) => (customer, class),
            Some(_) => (customer, OTHER_LABEL),
            None => (OTHER_LABEL, OTHER_LABEL),
        };
        (customer.to_owned(), class.to_owned())
    }
}
