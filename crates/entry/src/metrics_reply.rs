//! The metrics of an entry, for Prometheus.

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

/// The content type of the text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";

/// Answers a scrape; what is not counted as it happens is measured now.
pub(crate) fn metrics_reply(shared: &EntryShared) -> HttpReply {
    let metrics = &shared.metrics;
    shared.health.measure(metrics);
    let replica = shared.config.replica.as_ref();
    scrape_response(metrics, replica.map(|replica| &*replica.data_folder))
}

/// Makes the response to a scrape, with the size of the replica's folder if there is one.
pub fn scrape_response(metrics: &MetricSet, folder: Option<&Path>) -> HttpReply {
    if let Some(folder) = folder {
        let bytes = i64::try_from(folder_bytes(folder)).unwrap_or(i64::MAX);
        metrics.log_bytes.set(bytes);
    }
    typed_response(StatusCode::OK, METRICS_TYPE, metrics.text().into())
}

/// Returns the bytes of the files in a folder; what can't be read counts as nothing.
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
