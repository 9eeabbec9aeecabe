//! Invalid bytes are refused by the decoders without a panic.

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{HostId, TreeVersion};
use amaranthscale_core::request::ClaimRow;
use amaranthscale_core::version::Envelope;
use amaranthscale_core::wire::{
    Dispatch, Fetch, Frame, Hello, HostList, Outcome, Revoke, RevokeReply, Row, Stamp, Transaction,
    TransactionReply, TreeReply, TreeRequest, decode, encode,
};
use quickcheck::{Arbitrary as _, Gen};
use serde::de::DeserializeOwned;

const SEEDS: u64 = 20_000;

fn decode_as_every_message(bytes: &[u8]) -> usize {
    let outcomes = [
        accepts::<Dispatch>(bytes),
        accepts::<Fetch>(bytes),
        accepts::<Frame>(bytes),
        accepts::<Hello>(bytes),
        accepts::<HostList>(bytes),
        accepts::<Outcome>(bytes),
        accepts::<Revoke>(bytes),
        accepts::<RevokeReply>(bytes),
        accepts::<Row>(bytes),
        accepts::<Stamp>(bytes),
        accepts::<Transaction>(bytes),
        accepts::<TransactionReply>(bytes),
        accepts::<TreeReply>(bytes),
        accepts::<TreeRequest>(bytes),
    ];
    outcomes.into_iter().filter(|accepted| *accepted).count()
}

fn accepts<T: DeserializeOwned>(bytes: &[u8]) -> bool {
    decode::<T>(bytes).is_ok()
}

fn samples() -> Vec<Vec<u8>> {
    let host = HostId::new("e-1").expect("the name is well formed");
    let version = TreeVersion::new(3);
    let edits = vec!["{}".to_owned()];
    vec![
        encode(&Hello {
            from: host.clone(),
            tree_version: version,
        }),
        encode(&TreeRequest {
            from: host,
            version,
        }),
        encode(&TreeReply::Edits {
            after: version,
            edits,
        }),
        encode(&Outcome::without_result(ResultCode::Complete)),
        encode(&Transaction::default()),
    ]
}

#[test]
fn random_bytes_are_refused_or_decoded() {
    for seed in 0..SEEDS {
        let mut random = Gen::from_size_and_seed(200, seed);
        let bytes = Vec::<u8>::arbitrary(&mut random);
        decode_as_every_message(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        assert!(Envelope::parse(&text).is_err(), "seed {seed}");
        assert!(
            serde_json::from_str::<ClaimRow>(&text).is_err(),
            "seed {seed}"
        );
    }
}

#[test]
fn damaged_messages_are_refused_or_decoded() {
    let samples = samples();
    let mut accepted = 0;
    for seed in 0..SEEDS {
        let mut random = Gen::from_size_and_seed(200, seed);
        let mut bytes = random.choose(&samples).expect("there are samples").clone();
        let position = usize::arbitrary(&mut random) % bytes.len();
        bytes[position] = u8::arbitrary(&mut random);
        bytes.truncate(bytes.len() - usize::from(bool::arbitrary(&mut random)));
        accepted += decode_as_every_message(&bytes);
    }
    println!("{SEEDS} damaged messages, decoded {accepted} times");
    assert!(accepted > 0);
}
