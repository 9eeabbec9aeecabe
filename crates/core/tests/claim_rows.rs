//! Claim rows, and conditional writes with misleading replies.

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{
    AttemptId, AttemptNumber, HostId, IdempotencyKey, Incarnation, OrganisationId, RequestId,
    RowVersion, StageIndex, WriteId,
};
use amaranthscale_core::request::{
    AttemptStatus, ClaimStatus, StoredResult, attempt_status, cancel_write, claim_write,
    finish_write, mark_unknown_write, read_claim,
};
use amaranthscale_core::version::{ConditionalWrite, WriteEvent, WriteStep};
use amaranthscale_core::wire::{
    CallFingerprint, ClaimKey, ClaimTicket, Outcome, Row, RowCheck, TransactionReply,
};

fn key() -> ClaimKey {
    ClaimKey {
        organisation: OrganisationId::new("delta").expect("the name is well formed"),
        key: IdempotencyKey::new("settle-17").expect("the name is well formed"),
        stage: StageIndex::new(0),
    }
}

fn fingerprint() -> CallFingerprint {
    CallFingerprint::of("/settle", "17")
}

fn attempt(number: u32) -> AttemptId {
    AttemptId {
        request: RequestId::from_random_bits(1),
        stage: StageIndex::new(0),
        number: AttemptNumber::new(number),
    }
}

fn write_id(text: &str) -> WriteId {
    WriteId::new(text).expect("the name is well formed")
}

fn claim(version: u64, number: u32, id: &str) -> ConditionalWrite {
    let version = RowVersion::new(version);
    let ticket = ClaimTicket {
        key: key(),
        version,
        fingerprint: fingerprint(),
    };
    let host = HostId::new("s-1").expect("the name is well formed");
    claim_write(
        &ticket,
        host,
        Incarnation::new(1),
        attempt(number),
        write_id(id),
    )
}

fn cancel(version: u64, id: &str) -> ConditionalWrite {
    let by = HostId::new("e-1").expect("the name is well formed");
    cancel_write(
        &key(),
        RowVersion::new(version),
        fingerprint(),
        by,
        write_id(id),
    )
}

/// The row that a write produces at a version.
fn row(write: &ConditionalWrite, version: u64) -> Row {
    let sent = write.transaction().writes.remove(0);
    Row {
        key: sent.key,
        version: RowVersion::new(version),
        value: sent.value,
    }
}

fn absent() -> Row {
    Row {
        key: key().to_string(),
        version: RowVersion::default(),
        value: String::new(),
    }
}

#[test]
fn each_state_of_a_claim_is_read_back() {
    let started = row(&claim(0, 1, "w1"), 1);
    let outcome = Outcome::without_result(ResultCode::Complete);
    let result = StoredResult::Inline(vec![0, 255]);
    let finish = finish_write(
        &started,
        fingerprint(),
        outcome.clone(),
        result.clone(),
        write_id("w2"),
    );
    let unknown = mark_unknown_write(&started, fingerprint(), write_id("w3"));
    let read = |row: &Row| read_claim(row, &fingerprint());

    assert_eq!(
        read(&absent()),
        ClaimStatus::Free {
            version: RowVersion::default()
        }
    );
    assert_eq!(
        read(&row(&cancel(0, "w4"), 1)),
        ClaimStatus::Free {
            version: RowVersion::new(1)
        }
    );
    assert!(matches!(read(&started), ClaimStatus::Started { attempt: a, .. } if a == attempt(1)));
    assert_eq!(
        read(&row(&finish, 2)),
        ClaimStatus::Finished { outcome, result }
    );
    assert_eq!(read(&row(&unknown, 2)), ClaimStatus::Unknown);
    assert_eq!(
        read_claim(&started, &CallFingerprint::of("/settle", "18")),
        ClaimStatus::KeyReused
    );
}

#[test]
fn an_unreadable_row_is_never_free() {
    // A row written by another version of the program cannot be parsed. If the entry treated it as
    // absent, a grower could be paid twice.
    let corrupt = Row {
        version: RowVersion::new(3),
        value: "{}".to_owned(),
        ..absent()
    };

    assert_eq!(read_claim(&corrupt, &fingerprint()), ClaimStatus::Corrupt);
    assert_eq!(
        attempt_status(&corrupt, attempt(1), RowVersion::new(2)),
        AttemptStatus::Closed
    );
}

#[test]
fn a_row_shows_the_status_of_an_attempt() {
    let ticket_version = RowVersion::default();
    let status = |row: &Row| attempt_status(row, attempt(1), ticket_version);

    assert_eq!(status(&absent()), AttemptStatus::MayStart);
    assert_eq!(status(&row(&claim(0, 1, "w1"), 1)), AttemptStatus::Claimed);
    assert_eq!(status(&row(&claim(0, 2, "w1"), 1)), AttemptStatus::NeverRan);
    assert_eq!(status(&row(&cancel(0, "w1"), 1)), AttemptStatus::NeverRan);
}

#[test]
fn a_late_reply_to_an_earlier_write_does_not_win() {
    // The "committed" reply to an earlier write of the same sidecar arrives late, while it waits
    // for the reply to its claim. If that counted, it would make a call that it never claimed.
    let mut second = claim(1, 2, "w2");
    let earlier = row(&cancel(0, "w1"), 1);

    let step = second.next(WriteEvent::Replied(TransactionReply::Committed(vec![
        earlier,
    ])));

    assert_eq!(step, WriteStep::Send);
}

#[test]
fn a_conflict_with_our_own_earlier_write_is_a_win() {
    // The first reply is lost, and the repeated write conflicts with the first one. If the sidecar
    // treated that as lost, the claim would stay without a holder forever.
    let mut write = claim(0, 1, "w1");
    let own = row(&write, 1);
    assert_eq!(write.next(WriteEvent::Lost), WriteStep::ReadBack);
    assert_eq!(write.next(WriteEvent::ReadBack(absent())), WriteStep::Send);

    let step = write.next(WriteEvent::Replied(TransactionReply::Conflict(vec![
        own.clone(),
    ])));

    assert_eq!(step, WriteStep::Won { row: own });
}

#[test]
fn a_later_row_shows_the_write_before_it() {
    let first = row(&claim(0, 1, "w1"), 1);
    let over_first = row(
        &mark_unknown_write(&first, fingerprint(), write_id("w2")),
        2,
    );
    let without_previous = row(&claim(1, 2, "w3"), 2);
    let read_back = |id: &str, row: &Row| claim(0, 1, id).next(WriteEvent::ReadBack(row.clone()));

    assert!(matches!(
        read_back("w1", &over_first),
        WriteStep::Superseded { .. }
    ));
    assert!(matches!(
        read_back("w9", &over_first),
        WriteStep::LostTo { .. }
    ));
    assert!(matches!(
        read_back("w1", &without_previous),
        WriteStep::Undecided { .. }
    ));
    assert!(matches!(read_back("w9", &first), WriteStep::LostTo { .. }));
}

#[test]
fn a_settled_write_stays_settled() {
    let mut write = claim(0, 1, "w1");
    let own = row(&write, 1);
    let won = write.next(WriteEvent::ReadBack(own));

    assert_eq!(write.next(WriteEvent::Lost), won);
    assert_eq!(
        write.next(WriteEvent::ReadBack(row(&cancel(1, "w2"), 2))),
        won
    );
}

#[test]
fn a_failed_check_settles_a_write_that_its_own_row_does_not() {
    let lease = Row {
        key: "lease".to_owned(),
        version: RowVersion::new(8),
        value: String::new(),
    };
    let check = RowCheck {
        key: "lease".to_owned(),
        version: RowVersion::new(7),
    };
    let mut write = claim(0, 1, "w1").also_checking(check);

    let conflict = TransactionReply::Conflict(vec![absent(), lease.clone()]);
    let step = write.next(WriteEvent::Replied(conflict));

    assert_eq!(step, WriteStep::LostTo { row: lease });
}
