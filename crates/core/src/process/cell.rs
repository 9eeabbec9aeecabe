//! Partitions of a large deployment's stage servers, each with its own batch owner.
//!
//! A single owner of all batches needs more processor time the more servers there are. Beyond some
//! hundred servers, stage servers and requests are partitioned into cells: a request's pieces are
//! computed by the servers of one cell, and each owner only knows its own cell. All entries compute
//! the same partition without communication. While their server lists differ, two owners may use
//! the same server, which they must tolerate.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::rendezvous;
use super::server_list::ServerRecord;
use crate::id::{CallId, ServiceId};

/// Stage servers per owner: the batches of that many take some hundredths of a core.
const SERVERS_PER_CELL: usize = 150;
/// Fewest servers of each service in a cell: with fewer, a single busy or missing server has a
/// noticeable effect.
const MIN_SERVERS_PER_SERVICE: usize = 4;
/// Largest number of cells; a peer that names more is not part of the deployment.
const MAX_CELLS: u32 = 64;

/// One partition of the stage servers and requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell {
    index: u32,
    #[serde(rename = "of")]
    count: u32,
}

impl std::fmt::Display for Cell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.index, self.count)
    }
}

impl Cell {
    /// The only cell of a deployment that is not split.
    pub const SINGLE: Self = Self { index: 0, count: 1 };

    /// The cell that computes a request's pieces, given the number of cells.
    #[must_use]
    pub fn of_call(call: &CallId, cells: u32) -> Self {
        let count = cells.clamp(1, MAX_CELLS);
        let index = rendezvous::score(0, call.as_str()) % u64::from(count);
        Self {
            index: u32::try_from(index).unwrap_or(0),
            count,
        }
    }

    /// Whether the cell is valid, as a peer may send anything.
    #[must_use]
    pub const fn is_well_formed(self) -> bool {
        self.index < self.count && self.count <= MAX_CELLS
    }

    /// Index among the cells.
    #[must_use]
    pub const fn index(self) -> u32 {
        self.index
    }

    /// Whether it is the only cell.
    #[must_use]
    pub const fn is_single(self) -> bool {
        self.count == 1
    }

    /// Number of cells for the given numbers of servers of each stage service. It is a power of
    /// two, so that a few added or removed servers seldom change the partition.
    #[must_use]
    pub fn count(servers: impl IntoIterator<Item = usize>) -> u32 {
        let servers: Vec<_> = servers.into_iter().collect();
        let all: usize = servers.iter().sum();
        let fewest = servers.into_iter().min().unwrap_or(0);
        let wanted = (all / SERVERS_PER_CELL)
            .min(fewest / MIN_SERVERS_PER_SERVICE)
            .max(1);
        let cells = u32::try_from(wanted).unwrap_or(MAX_CELLS).min(MAX_CELLS);
        1 << cells.ilog2()
    }

    /// The servers of this cell.
    ///
    /// Each service is partitioned by itself: a server goes to the cell with the highest score
    /// among those that are not full, so that cells have the same size and few servers move when
    /// one is removed.
    pub fn servers<'a>(
        self,
        servers: impl Iterator<Item = &'a ServerRecord>,
    ) -> Vec<&'a ServerRecord> {
        if self.is_single() {
            return servers.collect();
        }
        let mut services: BTreeMap<&ServiceId, Vec<&ServerRecord>> = BTreeMap::new();
        for server in servers {
            services.entry(&server.service).or_default().push(server);
        }
        let assigned = services
            .into_values()
            .flat_map(|servers| self.assign(servers));
        assigned.collect()
    }

    fn assign(self, mut servers: Vec<&ServerRecord>) -> Vec<&ServerRecord> {
        servers.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        let cells = usize::try_from(self.count).unwrap_or(1);
        let max_size = servers.len().div_ceil(cells);
        let mut sizes = vec![0; cells];
        let is_own = |server: &&ServerRecord| {
            let open_cells = (0..cells).filter(|cell| sizes[*cell] < max_size);
            let score = |cell: &usize| {
                let seed = u64::try_from(*cell).unwrap_or(0);
                rendezvous::score(seed, server.incarnation.id().as_str())
            };
            let Some(cell) = open_cells.max_by_key(score) else {
                return false;
            };
            sizes[cell] += 1;
            u32::try_from(cell).is_ok_and(|cell| cell == self.index)
        };
        servers.into_iter().filter(is_own).collect()
    }
}
