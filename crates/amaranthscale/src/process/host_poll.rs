//! Polls the host list.

use std::time::Duration;

use amaranthscale_core::wire::HostList;
use log::warn;

use super::PlatformClient;

/// Polls the host list and passes each new version on; ends with its task.
///
/// While the platform is unavailable, the last list stays in use.
pub async fn poll_hosts(
    platform: PlatformClient,
    interval: Duration,
    on_change: impl Fn(HostList) + Send,
) {
    let mut version = None;
    let mut is_unavailable = false;
    loop {
        match platform.hosts_after(version).await {
            Ok(Some(hosts)) => {
                is_unavailable = false;
                version = Some(hosts.version);
                on_change(hosts);
            }
            Ok(None) => is_unavailable = false,
            Err(error) if !is_unavailable => {
                is_unavailable = true;
                warn!("process: the host list cannot be read: {error}");
            }
            Err(_still_unavailable) => {}
        }
        tokio::time::sleep(interval).await;
    }
}
