//! Urgency of requests.

use amaranthscale_core::process::Rank;

/// An engine that compared routes first would preempt paid requests for those of trial customers.
#[test]
fn urgency_classes_order_organisations_before_routes() {
    let ranks = (0..=u8::MAX).flat_map(|organisation| {
        (0..=u8::MAX).map(move |route| Rank {
            organisation,
            route,
        })
    });
    let classes: Vec<_> = ranks.map(Rank::urgency_class).collect();

    assert!(classes.is_sorted(), "a later rank is never more urgent");
    assert!(classes.iter().all(|class| *class <= 9));
    let first = |organisation: usize| classes[organisation * 256];
    assert_eq!([0, 1, 2, 3, 255].map(first), [0, 3, 6, 9, 9]);
}
