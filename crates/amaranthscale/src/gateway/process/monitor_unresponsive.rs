//! Monitors gateways that did not answer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::info;

use super::super::version::Announcer;
use super::{GatewayContext, check_alive};

/// Interval between two checks of unresponsive gateways; shorter than the time for which a gateway
/// counts as unresponsive, so that one that does not answer stays so.
const PROBE_INTERVAL: Duration = Duration::from_millis(900);
/// Maximum number of other gateways to try before an owner is displaced; more than one, as a second
/// gateway may have failed at the same time.
const MAX_REACHABILITY_PROBES: usize = 3;

/// Withdraws the announcements of gateways that this one replaces as batch owner, and checks
/// whether unresponsive gateways answer again.
///
/// Without the checks, requests themselves would try an unresponsive gateway again from time to
/// time, and each time wait for it in vain for about a second.
pub async fn monitor_unresponsive(context: Arc<GatewayContext>, announcer: Announcer) {
    let mut removed = BTreeSet::new();
    loop {
        context.cluster_view.unresponsive_marked().await;
        let displaced = context.cluster_view.displaced().into_iter();
        let displaced: Vec<_> = displaced.filter(|id| !removed.contains(id)).collect();
        let is_cut_off = !displaced.is_empty() && !reaches_any_gateway(&context).await;
        if is_cut_off {
            info!(silent = displaced.len(); "membership: no other gateway reachable");
            context.counters.count("owner.not-displaced");
        } else if !displaced.is_empty() {
            for id in &displaced {
                info!(instance = id.as_str(); "membership: withdrawing a displaced gateway");
            }
            removed.extend(displaced.iter().cloned());
            tokio::spawn(announcer.clone().withdraw(displaced));
        }
        tokio::time::sleep(PROBE_INTERVAL).await;
        for (id, address) in context.cluster_view.unresponsive() {
            let context = Arc::clone(&context);
            tokio::spawn(async move {
                if check_alive(&context.peers, &id, address).await {
                    info!(instance = id.as_str(); "membership: gateway answers again");
                    context.cluster_view.mark_responsive(&id);
                } else {
                    // This also wakes the loop as long as the gateway stays unresponsive.
                    context.cluster_view.mark_unresponsive(&id);
                }
            });
        }
    }
}

/// Whether another gateway answers, or there is none.
///
/// To a gateway that is itself cut off, but not from the store, all others look unresponsive; it
/// must not displace the batch owner that all others use.
async fn reaches_any_gateway(context: &GatewayContext) -> bool {
    let others = context.cluster_view.live_others();
    for (id, address) in others.iter().take(MAX_REACHABILITY_PROBES) {
        if check_alive(&context.peers, id, *address).await {
            return true;
        }
    }
    others.is_empty()
}
