//! Memory that the bodies of all callers share.

use std::time::Duration;

use amaranthscale::gateway::process::BufferMemory;
use bytes::Bytes;

const UNIT_BYTES: usize = 1024;

/// Slow callers hold all of the memory. The next answer has to wait until one of them has read its
/// own, or the process would exceed its memory.
#[tokio::test(start_paused = true)]
async fn a_reservation_waits_until_memory_is_free() {
    let memory = BufferMemory::new(2 * UNIT_BYTES);
    let held = memory
        .reserve(2 * UNIT_BYTES)
        .await
        .hold(Bytes::from(vec![7; 2 * UNIT_BYTES]));

    let too_early = tokio::time::timeout(Duration::from_mins(1), memory.reserve(1)).await;
    drop(held);
    let after = tokio::time::timeout(Duration::from_secs(1), memory.reserve(1)).await;

    assert!(too_early.is_err());
    assert!(after.is_ok());
}

/// An answer without a declared length turns out to be long. It may grow only into memory that is
/// free.
#[test]
fn a_reservation_grows_into_free_memory_only() {
    let memory = BufferMemory::new(4 * UNIT_BYTES);
    let mut growing = memory.try_reserve(UNIT_BYTES).unwrap();
    let other = memory.try_reserve(2 * UNIT_BYTES).unwrap();

    let first = growing.try_extend_to(2 * UNIT_BYTES);
    let second = growing.try_extend_to(2 * UNIT_BYTES + 1);
    drop(other);
    let third = growing.try_extend_to(4 * UNIT_BYTES);

    assert_eq!([first, second, third], [true, false, true]);
}

/// Content that is shorter than its reservation returns the rest at once, and all of it when its
/// last part is dropped.
#[test]
fn held_content_keeps_only_what_it_needs() {
    let memory = BufferMemory::new(4 * UNIT_BYTES);
    let held = memory.try_reserve(4 * UNIT_BYTES).unwrap();

    let mut content = held.hold(Bytes::from_static(b"short"));
    let part = content.split_to(2);
    drop(content);
    let beside = memory.try_reserve(3 * UNIT_BYTES);
    let too_much = memory.try_reserve(UNIT_BYTES);

    assert_eq!(part, "sh".as_bytes());
    assert!(beside.is_some());
    assert!(too_much.is_none());
}

/// Content larger than the memory must not wait for ever: it is held alone.
#[tokio::test(start_paused = true)]
async fn content_larger_than_the_memory_takes_all_of_it() {
    let memory = BufferMemory::new(2 * UNIT_BYTES);

    let reserved = tokio::time::timeout(Duration::from_secs(1), memory.reserve(9 * UNIT_BYTES));

    let mut reservation = reserved.await.unwrap();
    assert!(reservation.try_extend_to(90 * UNIT_BYTES));
    assert!(memory.try_reserve(1).is_none());
}

/// Memory that is large enough to be divided, and the part of it that is for large content.
const DIVIDED_BYTES: usize = 4 * 1024 * 1024;
const LARGE_BYTES: usize = 3 * 1024 * 1024;

/// Large answers that nobody reads must not hold up small ones, which most answers are.
#[tokio::test(start_paused = true)]
async fn small_content_does_not_wait_for_large() {
    let memory = BufferMemory::new(DIVIDED_BYTES);
    let _unread = memory.reserve(LARGE_BYTES).await;

    let large = tokio::time::timeout(Duration::from_mins(1), memory.reserve(LARGE_BYTES)).await;
    let small = tokio::time::timeout(Duration::from_secs(1), memory.reserve(UNIT_BYTES)).await;

    assert!(large.is_err());
    assert!(small.is_ok());
}

/// Content of unknown length must not fill the memory for small content with its growth.
#[test]
fn content_that_grows_leaves_the_memory_for_small_content() {
    let memory = BufferMemory::new(DIVIDED_BYTES);
    let mut growing = memory.try_reserve(UNIT_BYTES).unwrap();

    let has_grown = growing.try_extend_to(LARGE_BYTES);
    let has_room = memory.try_reserve(100 * UNIT_BYTES).is_some();
    let small: Vec<_> = (0..16)
        .map(|_| memory.try_reserve(64 * UNIT_BYTES))
        .collect();

    assert!(has_grown);
    assert!(!has_room);
    assert!(small.iter().all(Option::is_some));
}
