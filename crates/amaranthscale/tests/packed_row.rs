//! Compression of long rows that are relayed between gateways.

use amaranthscale::gateway::version::{PackedRow, UnpackError};
use amaranthscale_core::id::RowVersion;

fn routes(count: usize, idle_ms: u64) -> Vec<u8> {
    let routes: Vec<_> = (0..count)
        .map(|number| {
            let name = number.wrapping_mul(0x9E37_79B9_7F4A_7C15);
            format!(
                r#"{{"name":"r{number}","host":"{name:x}.example","prefix":"/{:x}/","timeout_ms":6000,"service":"desk"}}"#,
                name.rotate_left(17)
            )
        })
        .collect();
    format!(
        r#"{{"version":3,"idle_timeout_ms":{idle_ms},"routes":[{}]}}"#,
        routes.join(",")
    )
    .into_bytes()
}

#[test]
fn a_row_without_a_base_is_compressed() {
    let content = routes(1_400, 15_000);

    let packed = PackedRow::pack("config", &content, None).expect("memory suffices");

    assert!(
        packed.packed_bytes() * 2 < content.len(),
        "{}",
        packed.packed_bytes()
    );
    assert_eq!(packed.unpack(None).expect("whole"), content);
}

/// A change of one number must not cost as much as the whole row.
#[test]
fn a_small_change_of_a_large_row_is_small() {
    let (old, new) = (routes(20_000, 15_000), routes(20_000, 9_000));
    let base = Some((RowVersion::new(4), old.as_slice()));

    let packed = PackedRow::pack("config", &new, base).expect("memory suffices");

    assert!(
        packed.packed_bytes() < 2_000,
        "{} of {}",
        packed.packed_bytes(),
        new.len()
    );
    assert_eq!(packed.unpack(Some(&old)).expect("whole"), new);
}

/// Content must not be assembled from a different version.
#[test]
fn a_wrong_base_is_detected() {
    let (old, new) = (routes(2_000, 15_000), routes(2_000, 9_000));
    let mut other = old.clone();
    for byte in &mut other[60_000..60_100] {
        *byte ^= 1;
    }
    let base = Some((RowVersion::new(4), old.as_slice()));
    let packed = PackedRow::pack("config", &new, base).expect("memory suffices");

    assert!(matches!(
        packed.unpack(Some(&other)),
        Err(UnpackError::Malformed(..))
    ));
    assert!(matches!(
        packed.unpack(None),
        Err(UnpackError::BaseMissing(..))
    ));
}
