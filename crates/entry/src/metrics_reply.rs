//! Serves the metrics of an entry in the Prometheus text format.

use std::{
    fs,
    path::Path, //
};

use hyper::StatusCode;
use roseridge_events::MetricSet;
use roseridge_http::{
    HttpReply,
    typed_response, //
};

use crate::entry_instance::EntryShared;

/// The content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Answers a scrape, after updating the metrics that are measured on demand.
pub(crate) fn metrics_reply(shared: &EntryShared) -> HttpReply {
    let metrics = &shared.metrics;
    shared.health.update_metrics(metrics);
    let replica = shared.config.replica.as_ref();
    scrape_response(metrics, replica.map(|replica| &*replica.data_folder))
}

/// Makes the response to a scrape. If `folder` is the data folder of a control replica, its size is
/// measured first.
pub fn scrape_response(metrics: &MetricSet, folder: Option<&Path>) -> HttpReply {
    if let Some(folder) = folder {
        let bytes = i64::try_from(folder_bytes(folder)).unwrap_or(i64::MAX);
        metrics.log_bytes.set(bytes);
    }
    typed_response(StatusCode::OK, METRICS_TYPE, metrics.text().into())
}

/// Returns the total size of the files in a folder, in bytes. Unreadable files count as empty.
fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(folder) else {
        return 0;
    };
    let sizes = entries.flatten().map(|entry| match entry.metadata() {
        Ok(metadata) if metadata.is_file() => metadata.len(),
        _ => 0,
    });
    sizes.sum()
}
