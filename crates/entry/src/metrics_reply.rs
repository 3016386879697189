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
    if let Some(replica) = &shared.config.replica {
        let bytes = i64::try_from(folder_bytes(&replica.data_folder));
        metrics.log_bytes.set(bytes.unwrap_or(i64::MAX));
    }
    metrics_response(metrics)
}

/// Makes the response to a scrape.
pub fn metrics_response(metrics: &MetricSet) -> HttpReply {
    typed_response(StatusCode::OK, METRICS_TYPE, metrics.text().into())
}

/// Returns the bytes of the files in a folder; what can't be read counts as nothing.
pub fn folder_bytes(folder: &Path) -> u64 {
    let Ok(entries) = fs::read_dir(folder) else {
        return 0;
    };
    let sizes = entries.flatten().map(|entry| match entry.metadata() {
        Ok(metadata) if metadata.is_file() => metadata.len(),
        _ => 0,
    });
    sizes.sum()
}
