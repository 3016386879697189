//! Guards against an unbounded number of label values, outdated metrics of a former leader, and
//! metrics that are missing from the documentation.

use std::collections::BTreeSet;

use roseridge_events::{
    MAX_CLASSES,
    MAX_CUSTOMERS,
    MetricSet, //
};
use roseridge_testutils::cases;

/// The customer and class of a job, and the labels that are expected for it.
struct LabelCase {
    job: (&'static str, &'static str),
    labels: (&'static str, &'static str),
}

fn check_labels(case: LabelCase) {
    let metrics = MetricSet::new();
    metrics.labels.admit("tuglink", ["replan", "study"]);
    let (customer, class) = metrics.labels.job_labels(case.job.0, case.job.1);
    assert_eq!((customer.as_str(), class.as_str()), case.labels);
}

cases! { check_labels:
    admitted_class_has_its_label = LabelCase {
        job: ("tuglink", "study"),
        labels: ("tuglink", "study"),
    },
    unknown_class_is_other = LabelCase { job: ("tuglink", "x"), labels: ("tuglink", "other") },
    unknown_customer_is_other = LabelCase { job: ("x", "study"), labels: ("other", "other") },
}

#[test]
fn number_of_series_is_bounded() {
    let metrics = MetricSet::new();
    for customer in 0..2 * MAX_CUSTOMERS {
        let classes: Vec<_> = (0..2 * MAX_CLASSES).map(|c| format!("class-{c}")).collect();
        let customer = format!("customer-{customer}");
        metrics
            .labels
            .admit(&customer, classes.iter().map(String::as_str));
        for class in &classes {
            metrics.observe_start(&customer, class, 1.0);
        }
    }
    let text = metrics.text();
    let series = text.matches("roseridge_waiting_seconds_count{").count();
    // Each admitted customer has its classes and "other"; all further customers share "other".
    assert_eq!(series, MAX_CUSTOMERS * (MAX_CLASSES + 1) + 1);
}

#[test]
fn job_that_never_started_has_no_running_time() {
    let metrics = MetricSet::new();
    metrics.labels.admit("benali", ["payment-file"]);
    metrics.observe_end("benali", "payment-file", 5.0, Some(4.0));
    metrics.observe_end("benali", "payment-file", 1.0, None);
    let text = metrics.text();
    let labels = "{class=\"payment-file\",customer=\"benali\"}";
    assert!(text.contains(&format!("roseridge_completion_seconds_count{labels} 2")));
    assert!(text.contains(&format!("roseridge_running_seconds_sum{labels} 4")));
}

#[test]
fn former_leader_reports_no_queues() {
    let metrics = MetricSet::new();
    metrics.leading.set(1);
    metrics
        .queue_length
        .with_label_values(&["a", "waiting"])
        .set(3);
    metrics.clear_leader_metrics();
    let text = metrics.text();
    assert!(text.contains("roseridge_leading 0"));
    assert!(!text.contains("roseridge_jobs{"));
}

/// Returns the names of metrics in a text.
fn metric_names(text: &str) -> BTreeSet<String> {
    let words = text.split(|c: char| !c.is_ascii_alphanumeric() && c != '_');
    words
        .filter(|word| word.starts_with("roseridge_"))
        .map(str::to_owned)
        .collect()
}

#[test]
fn documentation_lists_exactly_the_metrics_of_the_code() {
    let source = [
        include_str!("../../src/metric_set.rs"),
        include_str!("../../src/flow_metrics.rs"),
    ]
    .concat();
    let page = include_str!("../../../../docs/alerts.md");
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| `roseridge_"));
    let listed = metric_names(&rows.collect::<String>());
    assert_eq!(listed, metric_names(&source));
    let used = metric_names(page);
    for name in used.difference(&listed) {
        let suffixes = ["_bucket", "_count", "_sum"];
        let base = suffixes.iter().find_map(|suffix| name.strip_suffix(suffix));
        assert!(
            base.is_some_and(|b| listed.contains(b)),
            "{name} is unknown"
        );
    }
}
