//! Taking in a changed settings file: on SIGHUP, and when its text is seen to differ.

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

/// Time between two looks at the file without a signal.
const LOOK: Duration = Duration::from_secs(3);

/// Reloads for ever. A file that cannot be read or does not pass the check changes nothing.
pub(crate) async fn run_reload(shared: Arc<Shared>) -> Result<(), TaskError> {
    let mut hangups = signal(SignalKind::hangup())?;
    let Some(path) = shared.settings_path.clone() else {
        // Settings that came from no file cannot change; the signal is taken and ignored.
        loop {
            hangups.recv().await;
            info!("reload_ignored", kv: { reason = "no settings file" });
        }
    };
    let mut text = fs::read_to_string(&path).unwrap_or_default();
    loop {
        let is_told = timeout(LOOK, hangups.recv()).await.is_ok();
        let read = match fs::read_to_string(&path) {
            Ok(read) => read,
            Err(error) if is_told => {
                error!("reload_failed", kv: { path, error: = error });
                continue;
            }
            Err(_) => continue,
        };
        if read == text {
            if is_told {
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
