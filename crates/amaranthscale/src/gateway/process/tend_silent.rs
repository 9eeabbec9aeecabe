//! What becomes of gateways that did not answer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use log::info;

use super::super::StoreApi;
use super::super::version::withdraw_instance;
use super::{GatewayParts, ask_alive};

/// Time between two questions to gateways that are passed over: below the time for which they are,
/// so that one that does not answer stays passed over.
const ASK_SILENT: Duration = Duration::from_millis(900);
/// Gateways that are asked before another one is displaced; one that dies beside it is no sign.
const MOST_WITNESSES: usize = 3;

/// Tends to gateways that did not answer: removes the announcements of those that this one owns the
/// batches in place of, and asks whether they answer again.
///
/// Guards against a gateway that stays silent for long: without a question of its own, each time
/// that it is tried again the requests of that moment would wait for it in vain, for a second or so.
pub async fn tend_silent(parts: Arc<GatewayParts>, store: StoreApi) {
    let mut removed = BTreeSet::new();
    loop {
        parts.cluster_view.silence().await;
        let displaced = parts.cluster_view.displaced().into_iter();
        let displaced: Vec<_> = displaced.filter(|id| !removed.contains(id)).collect();
        let is_cut_off = !displaced.is_empty() && !reaches_another(&parts).await;
        if is_cut_off {
            info!(silent = displaced.len(); "membership: nobody is reached");
            parts.counters.count("owner.not-displaced");
        } else {
            for id in displaced {
                info!(instance = id.as_str(); "membership: displaced");
                withdraw_instance(&store, &id).await;
                removed.insert(id);
            }
        }
        tokio::time::sleep(ASK_SILENT).await;
        for (id, address) in parts.cluster_view.passed_over() {
            let parts = Arc::clone(&parts);
            tokio::spawn(async move {
                if ask_alive(&parts.peers, &id, address).await {
                    info!(instance = id.as_str(); "membership: answers again");
                    parts.cluster_view.heard(&id);
                } else {
                    // Also lets the loop go on for as long as it stays silent.
                    parts.cluster_view.silent(&id);
                }
            });
        }
    }
}

/// Whether another gateway answers, or there is none.
///
/// Guards against a gateway that is cut off itself, but not from the store: to it all others look
/// silent, and it would have the one that owns the batches of all others displaced.
async fn reaches_another(parts: &GatewayParts) -> bool {
    let others = parts.cluster_view.others();
    for (id, address) in others.iter().take(MOST_WITNESSES) {
        if ask_alive(&parts.peers, id, *address).await {
            return true;
        }
    }
    others.is_empty()
}
