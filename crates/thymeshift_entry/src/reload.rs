//! Reloads the settings file on SIGHUP and when its text has changed.

use std::fs;
use std::sync::Arc;
use std::time::Duration;

use spdlog::error;
use spdlog::info;
use thymeshift_config::Settings;
use thymeshift_supervisor::TaskError;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::timeout;

use crate::shared::Shared;

/// Interval between two checks of the settings file when no signal arrives.
const CHECK_INTERVAL: Duration = Duration::from_secs(3);

/// Runs the reload loop. An unreadable or invalid settings file leaves the settings unchanged.
pub(crate) async fn run_reload(shared: Arc<Shared>) -> Result<(), TaskError> {
    let mut hangups = signal(SignalKind::hangup())?;
    let Some(path) = shared.settings_path.clone() else {
        // Settings that were not read from a file cannot be reloaded, so the signal is ignored.
        loop {
            hangups.recv().await;
            info!("reload_ignored", kv: { reason = "no settings file" });
        }
    };
    let mut text = fs::read_to_string(&path).unwrap_or_default();
    loop {
        let is_signalled = timeout(CHECK_INTERVAL, hangups.recv()).await.is_ok();
        let read = match fs::read_to_string(&path) {
            Ok(read) => read,
            Err(error) if is_signalled => {
                error!("reload_failed", kv: { path, error: = error });
                continue;
            }
            Err(_) => continue,
        };
        if read == text {
            if is_signalled {
                info!("reloaded", kv: { path, change = "none" });
            }
            continue;
        }
        text = read;
        match Settings::parse(&text) {
            Ok(settings) => {
                shared.set_settings(settings);
                info!("reloaded", kv: { path, change = "settings" });
            }
            Err(mistakes) => error!("reload_failed", kv: { path, error: = mistakes }),
        }
    }
}
