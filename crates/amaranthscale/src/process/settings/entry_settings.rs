//! The settings of an entry.

use std::net::SocketAddr;

use amaranthscale_core::id::{HostId, RegionId, ZoneId};
use amaranthscale_core::version::KeyHash;
use log::LevelFilter;

use super::key_spec::print_keys;
use super::{ENTRY_KEYS, LimitSettings, RetrySettings, SettingsError, SettingsText, TreeSettings};

/// The settings of an entry.
///
/// # Examples
///
/// ```
/// use amaranthscale::process::settings::EntrySettings;
///
/// let text = "[entry]\nhost = e1\nregion = delta-south\nzone = north-yard\n\
///             platform = 127.0.0.1:7000\n[retry]\nretry_percent = 300\n";
/// let error = EntrySettings::parse("entry.ini", text).unwrap_err();
/// assert_eq!(
///     error.to_string(),
///     "entry.ini:7: [retry] retry_percent = \"300\": give a whole number from 0 to 100"
/// );
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Name of this host in the host list.
    pub host: HostId,
    /// Region of this host.
    pub region: RegionId,
    /// Availability zone of this host.
    pub zone: ZoneId,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for the system's other processes.
    pub peer_listen: SocketAddr,
    /// Address of the platform's HTTP.
    pub platform: SocketAddr,
    /// Limits on callers' requests.
    pub limits: LimitSettings,
    /// Intervals of the settings tree's synchronisation.
    pub tree: TreeSettings,
    /// Budgets of retries and hedges.
    pub retry: RetrySettings,
    /// Time for which a connection with open streams may be silent.
    pub silence_ms: u64,
    /// Hash of the operators' key; without it operators are refused.
    pub operator_key_hash: Option<KeyHash>,
    /// Least level of logged lines.
    pub log_level: LevelFilter,
    /// Address that counters are sent to.
    pub statsd: Option<SocketAddr>,
    /// Weight of attainment against cost in routing.
    pub attainment_percent: u32,
}

impl EntrySettings {
    /// Parses settings; errors contain the file's name.
    pub fn parse(file_name: impl AsRef<str>, text: impl AsRef<str>) -> Result<Self, SettingsError> {
        let text = SettingsText::parse(file_name.as_ref(), text.as_ref(), ENTRY_KEYS)?;
        Ok(Self {
            host: text.get("entry", "host"),
            region: text.get("entry", "region"),
            zone: text.get("entry", "zone"),
            listen: text.get("entry", "listen"),
            peer_listen: text.get("entry", "peer_listen"),
            platform: text.get("entry", "platform"),
            limits: LimitSettings::read(&text)?,
            tree: TreeSettings::read(&text),
            retry: RetrySettings::read(&text),
            silence_ms: text.get("connections", "silence_ms"),
            operator_key_hash: text.get_optional("operator", "key_hash"),
            log_level: text.get("log", "level"),
            statsd: text.get_optional("metrics", "statsd"),
            attainment_percent: text.get("weights", "attainment_percent"),
        })
    }

    /// Lists every key with its default, unit and meaning, as a table in Markdown.
    #[must_use]
    pub fn print_settings() -> String {
        print_keys(ENTRY_KEYS)
    }
}
