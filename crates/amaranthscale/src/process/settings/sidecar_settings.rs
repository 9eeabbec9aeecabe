//! The settings of a sidecar.

use std::net::SocketAddr;

use amaranthscale_core::id::{HostId, RegionId, ServiceId, ZoneId};
use log::LevelFilter;

use super::key_spec::print_keys;
use super::{
    EngineSettings, LedgerSettings, QueueSettings, SIDECAR_KEYS, SettingsError, SettingsText,
    TreeSettings,
};

/// The settings of a sidecar.
///
/// # Examples
///
/// ```
/// use amaranthscale::process::settings::SidecarSettings;
///
/// let text = "[sidecar]\nhost = s1\nregion = delta-south\nzone = north-yard\n\
///             service = scalehouse\nbackend = 127.0.0.1:7100\nplatform = 127.0.0.1:7000\n";
/// let settings = SidecarSettings::parse("sidecar.ini", text)?;
/// assert_eq!(settings.queue.slots, 8);
/// # Ok::<(), amaranthscale::process::settings::SettingsError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SidecarSettings {
    /// Name of this host in the host list.
    pub host: HostId,
    /// Region of this host.
    pub region: RegionId,
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// Address for the system's other processes.
    pub listen: SocketAddr,
    /// Service of the backend server.
    pub service: ServiceId,
    /// Address of the backend server.
    pub backend: SocketAddr,
    /// Address of the platform's HTTP.
    pub platform: SocketAddr,
    /// Queue in front of the backend server.
    pub queue: QueueSettings,
    /// Ledger of attempts.
    pub ledger: LedgerSettings,
    /// Longest time that a graceful shutdown waits for running attempts.
    pub drain_ms: u64,
    /// Intervals of the settings tree's synchronisation.
    pub tree: TreeSettings,
    /// Capabilities of the backend server beyond calls.
    pub engine: EngineSettings,
    /// Least level of logged lines.
    pub log_level: LevelFilter,
    /// Address that counters are sent to.
    pub statsd: Option<SocketAddr>,
}

impl SidecarSettings {
    /// Parses settings; errors contain the file's name.
    pub fn parse(file_name: impl AsRef<str>, text: impl AsRef<str>) -> Result<Self, SettingsError> {
        let text = SettingsText::parse(file_name.as_ref(), text.as_ref(), SIDECAR_KEYS)?;
        Ok(Self {
            host: text.get("sidecar", "host"),
            region: text.get("sidecar", "region"),
            zone: text.get("sidecar", "zone"),
            listen: text.get("sidecar", "listen"),
            service: text.get("sidecar", "service"),
            backend: text.get("sidecar", "backend"),
            platform: text.get("sidecar", "platform"),
            queue: QueueSettings::read(&text)?,
            ledger: LedgerSettings::read(&text),
            drain_ms: text.get("drain", "drain_ms"),
            tree: TreeSettings::read(&text),
            engine: EngineSettings::read(&text),
            log_level: text.get("log", "level"),
            statsd: text.get_optional("metrics", "statsd"),
        })
    }

    /// Lists every key with its default, unit and meaning, as a table in Markdown.
    #[must_use]
    pub fn print_settings() -> String {
        print_keys(SIDECAR_KEYS)
    }
}
