//! The bounded sets of label values for customers and classes.

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

/// The most customers that have labels of their own.
pub const MAX_CUSTOMERS: usize = 64;
/// The most classes of one customer that have labels of their own.
pub const MAX_CLASSES: usize = 8;
/// The label of every customer and class that has none of its own.
pub const OTHER_LABEL: &str = "other";

type KnownLabels = BTreeMap<String, BTreeSet<String>>;

/// The customers and classes that have labels of their own; clones share the same book.
///
/// Only names that templates hold are admitted, up to [`MAX_CUSTOMERS`] and [`MAX_CLASSES`], so that
/// no caller and no change of configuration can make the number of series grow without end.
#[derive(Debug, Clone, Default)]
pub struct LabelRegistry(Arc<Mutex<KnownLabels>>);

impl LabelRegistry {
    /// Admits a customer and its classes while there is room; admitted names stay.
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

    /// Returns the label of a customer, or of whatever else the book was made for.
    pub fn label(&self, customer: &str) -> String {
        let known = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let label = match known.contains_key(customer) {
            true => customer,
            false => OTHER_LABEL,
        };
        label.to_owned()
    }

    /// Returns the labels of a job: its customer's and its class's.
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
