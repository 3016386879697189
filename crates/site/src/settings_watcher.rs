//! Applies changes of the settings file while a process runs.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use futures::{
    FutureExt,
    select_biased, //
};
use roseridge_events::{
    self as events,
    event, //
};
use roseridge_settings::read_installation_settings;
use roseridge_wire::ControlClient;

use crate::{
    SiteSignals,
    seed_notifier::SeedList,
    site_context::join_addresses, //
};

/// The interval at which the file is read, since it may change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Waits until a reload is requested. Never returns once the sender is dropped, since no request
/// can follow.
async fn wait_for_reload(reload: &Receiver<()>) {
    if reload.recv().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Applies changed seeds in the settings file until the stop signal: they are added to the client
/// and sent to the control replica.
///
/// All other settings apply from the start of the process to its end. An unusable file has no
/// effect.
pub(crate) async fn watch_settings(
    signals: SiteSignals,
    seed_list: SeedList,
    control: ControlClient,
    seed_sender: Sender<Vec<SocketAddr>>,
) {
    while !signals.stop.is_stopping() {
        let is_requested = select_biased! {
            () = signals.stop.wait().fuse() => return,
            () = wait_for_reload(&signals.reload).fuse() => true,
            () = compio::time::sleep(POLL_INTERVAL).fuse() => false,
        };
        match read_installation_settings(&signals.settings) {
            Ok(settings) => {
                let seeds = settings.control_addresses();
                let changed = seeds != *seed_list.borrow();
                if changed || is_requested {
                    event!(
                        info,
                        events::SETTINGS_READ,
                        seeds = join_addresses(&seeds),
                        changed = changed,
                        asked = is_requested
                    );
                }
                if changed {
                    control.add_seeds(&seeds);
                    seed_list.replace(seeds.clone());
                    // A process without a replica has no receiver.
                    let _ = seed_sender.try_send(seeds);
                }
            }
            Err(error) if is_requested => event!(warn, events::SETTINGS_UNUSABLE, error = error),
            Err(_) => {}
        }
    }
}
