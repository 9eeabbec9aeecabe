//! Parts of a large deployment's stage servers, each with an owner of its batches.
//!
//! One owner of all batches needs more of its machine the more servers there are. Beyond some
//! hundred, stage servers and requests are dealt out to cells: a request's pieces are made by the
//! servers of one cell, and an owner knows nothing of the others. All entries deal alike without a
//! word; while their lists of servers differ, two owners may use a server, which they must bear.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::rendezvous;
use super::server_list::ServerRecord;
use crate::id::{CallId, ServiceId};

/// Stage servers that one owner takes: the batches of so many take some hundredths of a core.
/// Measured: see CAPACITY.md, "The gateway on the users' platform".
const SERVERS_A_CELL: usize = 150;
/// Fewest servers of each service in a cell: with fewer, one that is busy or gone is felt.
const LEAST_OF_SERVICE: usize = 4;
/// Most cells; a peer that names more is not one of ours.
const MOST_CELLS: u32 = 64;

/// One of the parts that stage servers and requests are dealt out to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell {
    index: u32,
    of: u32,
}

impl std::fmt::Display for Cell {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.index, self.of)
    }
}

impl Cell {
    /// The only cell of a deployment that is not split.
    pub const SINGLE: Self = Self { index: 0, of: 1 };

    /// The cell that makes a request's pieces, among so many.
    #[must_use]
    pub fn of_call(call: &CallId, cells: u32) -> Self {
        let of = cells.clamp(1, MOST_CELLS);
        let index = rendezvous::score(0, call.as_str()) % u64::from(of);
        Self {
            index: u32::try_from(index).unwrap_or(0),
            of,
        }
    }

    /// Whether it can be: a peer may send anything.
    #[must_use]
    pub const fn is_well_formed(self) -> bool {
        self.index < self.of && self.of <= MOST_CELLS
    }

    /// Number among the cells.
    #[must_use]
    pub const fn index(self) -> u32 {
        self.index
    }

    /// Whether it is the only one.
    #[must_use]
    pub const fn is_single(self) -> bool {
        self.of == 1
    }

    /// Cells for so many servers of each stage service: a power of two, so that a few servers that
    /// come or go seldom deal everything anew.
    #[must_use]
    pub fn count(servers: impl IntoIterator<Item = usize>) -> u32 {
        let servers: Vec<_> = servers.into_iter().collect();
        let all: usize = servers.iter().sum();
        let fewest = servers.into_iter().min().unwrap_or(0);
        let wanted = (all / SERVERS_A_CELL).min(fewest / LEAST_OF_SERVICE).max(1);
        let cells = u32::try_from(wanted).unwrap_or(MOST_CELLS).min(MOST_CELLS);
        1 << cells.ilog2()
    }

    /// The servers of this cell.
    ///
    /// Each service is dealt out by itself: a server goes to the cell that scores it highest among
    /// those that are not full, so that cells are of one size and few servers move when one ends.
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
        let dealt = services
            .into_values()
            .flat_map(|servers| self.deal(servers));
        dealt.collect()
    }

    fn deal(self, mut servers: Vec<&ServerRecord>) -> Vec<&ServerRecord> {
        servers.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        let cells = usize::try_from(self.of).unwrap_or(1);
        let most = servers.len().div_ceil(cells);
        let mut taken = vec![0; cells];
        let is_own = |server: &&ServerRecord| {
            let has_place = (0..cells).filter(|cell| taken[*cell] < most);
            let score = |cell: &usize| {
                let seed = u64::try_from(*cell).unwrap_or(0);
                rendezvous::score(seed, server.incarnation.id().as_str())
            };
            let Some(cell) = has_place.max_by_key(score) else {
                return false;
            };
            taken[cell] += 1;
            u32::try_from(cell).is_ok_and(|cell| cell == self.index)
        };
        servers.into_iter().filter(is_own).collect()
    }
}
