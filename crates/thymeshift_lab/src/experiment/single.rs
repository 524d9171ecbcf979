//! One entry process with a platform inside the test, for tests that bring targets of
//! their own.

use std::fs;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use thymeshift_config::Configuration;

use crate::experiment::children::Child;
use crate::experiment::children::sibling_program;
use crate::experiment::fleet::FleetError;
use crate::experiment::fleet::wait_ready;
use crate::standin::DocumentName;
use crate::standin::Platform;
use crate::standin::Running;

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A folder that is removed when it is dropped.
pub struct TempFolder(PathBuf);

impl TempFolder {
    /// A new folder.
    pub fn new() -> std::io::Result<Self> {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("thymeshift-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    /// Where it is.
    pub fn path(&self) -> &PathBuf {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        // What cannot be removed stays in the machine's folder for such things.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// One entry process and its platform.
pub struct SingleEntry {
    /// The platform.
    pub platform: Arc<Platform>,
    /// The entry process.
    pub entry: Child,
    /// The platform's ports.
    pub platform_ports: Running,
    /// Logs and settings.
    pub folder: TempFolder,
    entries: u32,
}

impl SingleEntry {
    /// Starts both, publishes `configuration` as revision 1 and waits until the process
    /// is ready.
    pub async fn start(configuration: &Configuration) -> Result<Self, FleetError> {
        let single = Self::start_unready(configuration).await?;
        wait_ready(&single.entry).await?;
        Ok(single)
    }

    /// As [`SingleEntry::start`] without waiting.
    pub async fn start_unready(configuration: &Configuration) -> Result<Self, FleetError> {
        let platform = Platform::new();
        let platform_ports = platform.start((std::net::Ipv4Addr::LOCALHOST, 0).into()).await?;
        let text = serde_json::to_vec(configuration)?;
        platform.publish(DocumentName::Configuration, 1, text);
        let folder = TempFolder::new()?;
        let entry = start_entry(&folder, &platform_ports, 0, "").await?;
        Ok(Self { platform, entry, platform_ports, folder, entries: 1 })
    }

    /// Starts another entry process beside the first; `more` are further lines of its
    /// settings.
    pub async fn start_another(&mut self, more: &str) -> Result<Child, FleetError> {
        self.entries += 1;
        start_entry(&self.folder, &self.platform_ports, self.entries, more).await
    }

    /// What the first entry process has logged so far.
    pub fn log(&self) -> std::io::Result<String> {
        fs::read_to_string(self.folder.path().join("entry-0.log"))
    }
}

async fn start_entry(
    folder: &TempFolder,
    platform: &Running,
    number: u32,
    more: &str,
) -> Result<Child, FleetError> {
    let settings = format!(
        "vm: entry-{number}\ndata_hall: a\ncaller_address: 127.0.0.1:0\n\
         peer_address: 127.0.0.1:0\ncontrol_address: 127.0.0.1:0\nobserve_address: 127.0.0.1:0\n\
         platform_address: {}\nworker_threads: 2\nstop_readiness_lag_ms: 100\n\
         stop_bound_ms: 10000\nlog_level: debug\n{more}",
        platform.address
    );
    let path = folder.path().join(format!("entry-{number}.yaml"));
    fs::write(&path, settings)?;
    let log = folder.path().join(format!("entry-{number}.log"));
    let path = path.display().to_string();
    let program = sibling_program("thymeshiftd")?;
    Ok(Child::start(&program, &["run", "--settings", &path], &log).await?)
}
