//! Checks at intervals which proxies are suspected to have failed, and notifies watchers of changes.
//!
//! Main function: [`monitor_suspects`].
//!
//! Invariants: no proxy is suspected before this replica has run for as long as a proxy may be silent.

use std::sync::Arc;
use std::time::Duration;

use ochreshed_catalog::watch_server;
use tokio::time::sleep;

use super::replica_server::ReplicaServer;

/// A replica that has just started has not heard any proxy, which does not mean that they failed.
const INITIAL_DELAY: Duration = Duration::from_nanos(watch_server::SUSPECT_AFTER);
const CHECK_INTERVAL: Duration = Duration::from_nanos(watch_server::SUSPECT_CHECK_INTERVAL);

/// Updates the suspects until the process ends.
pub async fn monitor_suspects(server: Arc<ReplicaServer>) {
    sleep(INITIAL_DELAY).await;
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some(suspects) = server.update_suspects() {
            log::info!("suspected proxies changed: suspects={suspects}");
            server.notify_change();
        }
    }
}
