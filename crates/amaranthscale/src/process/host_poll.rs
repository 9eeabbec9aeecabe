//! Reads the host list over and over.

use std::time::Duration;

use amaranthscale_core::wire::HostList;
use log::warn;

use super::PlatformClient;

/// Polls the host list and hands each new version on; ends with its task.
///
/// While the platform is away the last list stays in use.
pub async fn poll_hosts(
    platform: PlatformClient,
    every: Duration,
    on_change: impl Fn(HostList) + Send,
) {
    let mut version = None;
    let mut is_away = false;
    loop {
        match platform.hosts_after(version).await {
            Ok(Some(hosts)) => {
                is_away = false;
                version = Some(hosts.version);
                on_change(hosts);
            }
            Ok(None) => is_away = false,
            Err(error) if !is_away => {
                is_away = true;
                warn!("process: the host list cannot be read: {error}");
            }
            Err(_still_away) => {}
        }
        tokio::time::sleep(every).await;
    }
}
