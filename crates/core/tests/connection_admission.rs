//! Which connections stay open when there are as many as an entry can hold.

#![expect(clippy::panic, reason = "fixtures of tests may panic")]

use amaranthscale_core::process::{Admitted, ConnectionAdmission, ConnectionId};
use quickcheck::quickcheck;

const MAX: usize = 3;

fn admitted(admission: &mut ConnectionAdmission) -> ConnectionId {
    match admission.admit(MAX) {
        Admitted::Taken(id) | Admitted::InPlaceOf(id, _) => id,
        Admitted::Refused => panic!("a connection has no request"),
    }
}

fn closed_by_next(admission: &mut ConnectionAdmission) -> Option<ConnectionId> {
    match admission.admit(MAX) {
        Admitted::InPlaceOf(_, closed) => Some(closed),
        Admitted::Taken(_) | Admitted::Refused => None,
    }
}

/// A crowd that sends no whole head must not push out callers that keep connections for reuse.
#[test]
fn connections_without_a_first_head_are_closed_before_unused_ones() {
    let mut admission = ConnectionAdmission::default();
    let kept = admitted(&mut admission);
    admission.begin_request(kept);
    admission.end_request(kept);
    let silent = admitted(&mut admission);
    let newer = admitted(&mut admission);

    let closed = [
        closed_by_next(&mut admission),
        closed_by_next(&mut admission),
    ];

    assert_eq!(closed, [Some(silent), Some(newer)]);
    assert!(admission.is_open(kept));
}

/// Callers that have just used a connection must not lose it to ones that keep theirs unused.
#[test]
fn the_connection_that_is_unused_for_longest_is_closed() {
    let mut admission = ConnectionAdmission::default();
    let ids = [(); MAX].map(|()| admitted(&mut admission));
    for id in ids.iter().rev() {
        admission.begin_request(*id);
        admission.end_request(*id);
    }

    let closed = closed_by_next(&mut admission);

    assert_eq!(closed, Some(ids[MAX - 1]));
}

/// A request that was read must be answered, also where connections run out.
#[test]
fn connections_with_a_request_are_kept() {
    let mut admission = ConnectionAdmission::default();
    let ids = [(); MAX].map(|()| admitted(&mut admission));
    for id in ids {
        admission.begin_request(id);
    }

    let refused = admission.admit(MAX);
    admission.end_request(ids[1]);
    let closed = closed_by_next(&mut admission);

    assert_eq!(refused, Admitted::Refused);
    assert_eq!(closed, Some(ids[1]));
}

/// A head that arrives while its connection is about to be closed must be answered.
#[test]
fn a_connection_to_be_closed_is_kept_for_a_request_that_arrives() {
    let mut admission = ConnectionAdmission::default();
    let late = admitted(&mut admission);
    let _others = [(); MAX].map(|()| admitted(&mut admission));
    let was_open = admission.is_open(late);

    admission.begin_request(late);

    assert!(!was_open);
    assert!(admission.is_open(late));
}

quickcheck! {
    /// Whatever connections do, no more are open than allowed, but for those that got a request while
    /// they were about to be closed.
    fn no_more_connections_are_open_than_allowed(steps: Vec<(u8, u8)>) -> bool {
        let mut admission = ConnectionAdmission::default();
        let mut ids = Vec::new();
        let mut late = 0;
        for (step, pick) in steps {
            let picked = ids.get(usize::from(pick) % ids.len().max(1)).copied();
            match (step % 4, picked) {
                (1, Some(id)) => {
                    late += usize::from(!admission.is_open(id));
                    admission.begin_request(id);
                }
                (2, Some(id)) => admission.end_request(id),
                (3, Some(id)) => admission.remove(id),
                _ => ids.extend(match admission.admit(MAX) {
                    Admitted::Taken(id) | Admitted::InPlaceOf(id, _) => Some(id),
                    Admitted::Refused => None,
                }),
            }
            if admission.len() > MAX + late {
                return false;
            }
        }
        true
    }
}
