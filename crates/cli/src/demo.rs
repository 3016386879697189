//! The demo: a small cluster in one process.

mod demo_cluster;
mod demo_jobs;

use std::path::Path;

use crate::cli_error::CliError;

/// Starts the cluster, runs the jobs of two customers on it and stops it gracefully.
pub(crate) async fn run_demo(folder: &Path) -> Result<(), CliError> {
    let cluster = demo_cluster::DemoCluster::start(folder).await?;
    let result = demo_jobs::run_jobs(&cluster).await;
    cluster.stop().await?;
    result
}
