//! Reloads the settings file at intervals and on SIGHUP.
//!
//! Main function: [`reload_settings`].
//!
//! Invariants: an invalid file changes nothing; the settings in force are always those of one complete file.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use super::replica_server::{ReplicaEvent, ReplicaServer};
use crate::mesh::proxy::node::seed_addresses;
use crate::mesh::settings::Settings;

/// Interval between reloads without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings until the process ends.
pub async fn reload_settings(server: Arc<ReplicaServer>, path: PathBuf) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    loop {
        tokio::select! {
            _ = hangup.recv() => {}
            () = sleep(RELOAD_INTERVAL) => {}
        }
        reload_once(&server, &path).await;
    }
}

async fn reload_once(server: &ReplicaServer, path: &Path) {
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            log::warn!("settings not reloaded: {error}");
            return;
        }
    };
    let seeds_changed = settings.seeds != server.settings.load().seeds;
    if seeds_changed {
        log::info!("settings reloaded: seeds={}", settings.seeds.len());
        server.send_event(ReplicaEvent::SeedsChanged(seed_addresses(&settings))).await;
    }
    server.settings.store(Arc::new(settings));
}
