//! The servers that operators drain.

use std::collections::{BTreeMap, BTreeSet};

use super::server_drain::{DrainChange, ServerDrain};
use crate::id::ServerId;

/// Drained servers, listed or not.
#[derive(Debug, Clone, Default)]
pub(super) struct ServerDrains {
    drained: BTreeMap<ServerId, ServerDrain>,
}

impl ServerDrains {
    /// Applies changes; returns the servers whose drain began or ended.
    ///
    /// A complete table ends the drains that it does not name. An unreadable row leaves a server as
    /// it is, as it shows neither a drain nor the end of one.
    pub(super) fn apply(
        &mut self,
        changes: Vec<DrainChange>,
        is_complete: bool,
    ) -> Vec<(ServerId, Option<ServerDrain>)> {
        let mut states = BTreeMap::new();
        if is_complete {
            let named: BTreeSet<_> = changes.iter().map(|change| &change.server).collect();
            let missing = self.drained.keys().filter(|server| !named.contains(server));
            states.extend(missing.map(|server| (server.clone(), None)));
        }
        let readable = changes.into_iter();
        let readable = readable.filter_map(|change| Some((change.server, change.state.ok()?)));
        states.extend(readable);
        states.retain(|server, state| match state {
            Some(drain) => self.drained.insert(server.clone(), drain.clone()).is_none(),
            None => self.drained.remove(server).is_some(),
        });
        states.into_iter().collect()
    }

    pub(super) fn get(&self, server: &ServerId) -> Option<&ServerDrain> {
        self.drained.get(server)
    }

    pub(super) fn contains(&self, server: &ServerId) -> bool {
        self.drained.contains_key(server)
    }

    pub(super) fn all(&self) -> impl Iterator<Item = (&ServerId, &ServerDrain)> {
        self.drained.iter()
    }
}
