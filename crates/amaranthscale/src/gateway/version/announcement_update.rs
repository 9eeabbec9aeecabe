//! Changes of the gateways' announcements that are written together.

use amaranthscale_core::id::InstanceId;
use amaranthscale_core::process::Announcement;
use serde::{Deserialize, Serialize};

/// Announcements to write and to remove in one transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct AnnouncementUpdate {
    /// Gateways that announce themselves.
    pub announced: Vec<(InstanceId, Announcement)>,
    /// Gateways that have ended.
    pub withdrawn: Vec<InstanceId>,
}

impl AnnouncementUpdate {
    /// Removes gateways that have ended.
    #[must_use]
    pub const fn withdrawal(withdrawn: Vec<InstanceId>) -> Self {
        Self {
            announced: Vec::new(),
            withdrawn,
        }
    }

    /// Number of rows that it writes or removes.
    #[must_use]
    pub const fn rows(&self) -> usize {
        self.announced.len() + self.withdrawn.len()
    }

    /// Adds another update; a gateway that several of them remove is removed once.
    pub fn merge(&mut self, other: Self) {
        self.announced.extend(other.announced);
        for id in other.withdrawn {
            if !self.withdrawn.contains(&id) {
                self.withdrawn.push(id);
            }
        }
    }
}
