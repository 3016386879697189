//! Changes of the settings file while a process runs.

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
    processes::joined,
    seed_greeter::SeedList, //
};

/// The time between two looks at the file, which may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Waits until a reload is asked for; when nobody can ask any more, for ever.
async fn asked_again(reload: &Receiver<()>) {
    if reload.recv().await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Follows the seeds of the settings file until the stop: the client learns them, and a control
/// replica is told of them.
///
/// Everything else in the file holds for a life of the process. A file that can't be used changes
/// nothing.
pub(crate) async fn watch_settings(
    signals: SiteSignals,
    known: SeedList,
    control: ControlClient,
    news: Sender<Vec<SocketAddr>>,
) {
    while !signals.stop.is_stopping() {
        let asked = select_biased! {
            () = signals.stop.wait().fuse() => return,
            () = asked_again(&signals.reload).fuse() => true,
            () = compio::time::sleep(LOOK_INTERVAL).fuse() => false,
        };
        match read_installation_settings(&signals.settings) {
            Ok(settings) => {
                let seeds = settings.control_addresses();
                let changed = seeds != *known.borrow();
                if changed || asked {
                    event!(
                        info,
                        events::SETTINGS_READ,
                        seeds = joined(&seeds),
                        changed = changed,
                        asked = asked
                    );
                }
                if changed {
                    control.add_seeds(&seeds);
                    known.replace(seeds.clone());
                    // A process without a replica has nobody to tell.
                    let _ = news.try_send(seeds);
                }
            }
            Err(error) if asked => event!(warn, events::SETTINGS_UNUSABLE, error = error),
            Err(_) => {}
        }
    }
}
