//! Copies of the store's tables that are copied again by others.

use std::collections::BTreeMap;
use std::time::Duration;

use amaranthscale_core::id::{RowVersion, StoreEra};
use amaranthscale_core::version::{TableChanges, TableCopy};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Runs of random writes; each has a table, its copy, and a copy of that copy.
const RUNS: u64 = 300;
const KEYS: usize = 12;

type Rows = BTreeMap<String, (u32, RowVersion)>;

/// The store's table and its changes by version.
#[derive(Default)]
struct Store {
    rows: Rows,
    changes: Vec<(String, Option<u32>)>,
}

impl Store {
    fn version(&self) -> RowVersion {
        RowVersion::new(u64::try_from(self.changes.len()).unwrap_or(0))
    }

    fn write(&mut self, key: String, value: Option<u32>) {
        self.changes.push((key.clone(), value));
        match value {
            Some(value) => {
                let version = self.version();
                self.rows.insert(key, (value, version));
            }
            None => drop(self.rows.remove(&key)),
        }
    }

    /// The newest change of each key after a version, as the store's feed returns it.
    fn since(&self, version: RowVersion) -> Vec<(String, Option<u32>, RowVersion)> {
        let mut newest = BTreeMap::new();
        let numbered = (1..).zip(&self.changes);
        for (number, (key, value)) in numbered.filter(|(number, _)| *number > version.get()) {
            newest.insert(key.clone(), (*value, RowVersion::new(number)));
        }
        let rows = newest.into_iter();
        rows.map(|(key, (value, version))| (key, value, version))
            .collect()
    }
}

/// A copy, and whether it has been filled.
#[derive(Default)]
struct Reader {
    copy: TableCopy<u32>,
    is_filled: bool,
}

impl Reader {
    fn rows(&self) -> Rows {
        match self.copy.changes_since(RowVersion::new(0)) {
            TableChanges::Full(rows) => rows
                .into_iter()
                .map(|(key, value, version)| (key, (value, version)))
                .collect(),
            TableChanges::Incremental(rows) => rows
                .into_iter()
                .filter_map(|(key, value, version)| Some((key, (value?, version))))
                .collect(),
        }
    }

    fn apply(&mut self, changes: TableChanges<u32>, version: RowVersion, clock: Duration) {
        match changes {
            TableChanges::Full(rows) => self.copy.replace(rows, version, clock),
            TableChanges::Incremental(rows) => self.copy.change(rows, version, clock),
        }
        self.is_filled = true;
    }
}

fn pick(random: &mut Gen, choices: usize) -> usize {
    usize::arbitrary(random) % choices
}

fn read_store(store: &Store, reader: &mut Reader, is_history_lost: bool, clock: Duration) {
    let changes = if !reader.is_filled || is_history_lost {
        let rows = store.rows.iter();
        let rows = rows.map(|(key, (value, version))| (key.clone(), *value, *version));
        TableChanges::Full(rows.collect())
    } else {
        TableChanges::Incremental(store.since(reader.copy.version()))
    };
    reader.apply(changes, store.version(), clock);
}

fn run(seed: u64) {
    let mut random = Gen::from_size_and_seed(64, seed);
    let mut store = Store::default();
    let (mut first, mut second) = (Reader::default(), Reader::default());
    for step in 1..120 {
        let clock = Duration::from_millis(step);
        match pick(&mut random, 8) {
            0 => read_store(&store, &mut first, pick(&mut random, 6) == 0, clock),
            1 if first.is_filled => {
                let changes = first.copy.changes_since(second.copy.version());
                second.apply(changes, first.copy.version(), first.copy.clock());
                assert_eq!(second.rows(), first.rows(), "seed {seed}, step {step}");
                assert_eq!(second.copy.clock(), first.copy.clock());
            }
            2 | 3 => store.write(format!("k{}", pick(&mut random, KEYS)), None),
            _ => {
                let value = u32::try_from(step).unwrap_or(0);
                store.write(format!("k{}", pick(&mut random, KEYS)), Some(value));
            }
        }
    }
    read_store(&store, &mut first, false, Duration::from_secs(1));
    assert_eq!(first.rows(), store.rows, "seed {seed}");
}

/// Rows that were dropped, written again, or missed while the store had lost its history must be
/// the same in a copy of a copy as in the store.
#[test]
fn a_copy_of_a_copy_equals_the_table() {
    for seed in 0..RUNS {
        run(seed);
    }
}

/// An older clock reading from another source must not make the copy seem older than it is.
#[test]
fn the_clock_of_a_copy_never_decreases() {
    fn holds(clocks: Vec<u16>) -> bool {
        let mut copy = TableCopy::<u32>::default();
        let mut newest = Duration::ZERO;
        clocks.into_iter().all(|clock| {
            let clock = Duration::from_millis(clock.into());
            copy.change([], RowVersion::new(1), clock);
            newest = newest.max(clock);
            copy.clock() == newest
        })
    }
    QuickCheck::new().quickcheck(holds as fn(Vec<u16>) -> bool);
}

/// Thousands of servers are added and removed. The number of retained removals is limited, and a
/// reader that is further behind gets the whole table.
#[test]
fn a_reader_far_behind_gets_the_whole_table() {
    let mut copy = TableCopy::default();
    copy.replace(
        [("kept".to_owned(), 1, RowVersion::new(1))],
        RowVersion::new(1),
        Duration::ZERO,
    );
    for number in 2..6_000 {
        let gone = (format!("server-{number}"), None, RowVersion::new(number));
        copy.change(
            [gone],
            RowVersion::new(number),
            Duration::from_millis(number),
        );
    }

    let far_behind = copy.changes_since(RowVersion::new(2));
    let up_to_date = copy.changes_since(RowVersion::new(5_998));

    assert!(matches!(far_behind, TableChanges::Full(rows) if rows.len() == 1));
    assert!(matches!(up_to_date, TableChanges::Incremental(rows) if rows.len() == 1));
}

/// The store loses its history, and the copy is filled with the whole table again. Hundreds of
/// readers have the earlier copy: they get what changed meanwhile, drops included, and not the whole
/// table.
#[test]
fn a_table_read_again_gives_readers_only_the_changes() {
    let row = |key: &str, version| (key.to_owned(), 1, RowVersion::new(version));
    let mut copy = TableCopy::default();
    let before = [row("dropped", 2), row("kept", 3), row("written", 4)];
    copy.replace(before, RowVersion::new(5), Duration::from_secs(1));

    let after = [row("kept", 3), row("new", 7), row("written", 8)];
    copy.replace(after, RowVersion::new(9), Duration::from_secs(2));

    let expected = TableChanges::Incremental(vec![
        ("new".to_owned(), Some(1), RowVersion::new(7)),
        ("written".to_owned(), Some(1), RowVersion::new(8)),
        ("dropped".to_owned(), None, RowVersion::new(9)),
    ]);
    assert_eq!(copy.changes_since(RowVersion::new(5)), expected);
    let up_to_date = copy.changes_since(RowVersion::new(9));
    assert_eq!(up_to_date, TableChanges::Incremental(Vec::new()));
}

/// Guards against readers of before a restoration that keep rows which this copy never had.
#[test]
fn a_table_of_a_new_era_is_given_to_earlier_readers_as_a_whole() {
    let earlier = |number| RowVersion::in_era(StoreEra::new(1), number);
    let later = |number| RowVersion::in_era(StoreEra::new(2), number);
    let mut copy = TableCopy::default();
    copy.replace(
        [("row".to_owned(), 1, earlier(3))],
        earlier(50),
        Duration::from_secs(1),
    );

    copy.replace(
        [("row".to_owned(), 2, later(3))],
        later(7),
        Duration::from_secs(2),
    );

    let whole = TableChanges::Full(vec![("row".to_owned(), 2, later(3))]);
    assert_eq!(copy.changes_since(earlier(60)), whole);
    let up_to_date = copy.changes_since(later(7));
    assert_eq!(up_to_date, TableChanges::Incremental(Vec::new()));
}
