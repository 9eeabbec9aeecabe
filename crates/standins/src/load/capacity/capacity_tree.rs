//! A settings tree with a given number of organisations.

use amaranthscale_core::version::{KeyHash, SettingsTree};
use serde_json::{Map, Value, json};

use super::capacity_error::CapacityError;

/// Bearer key of an organisation.
pub(super) fn key_of(number: u32) -> String {
    format!("capacity-key-{number}")
}

/// Name of an organisation.
pub(super) fn name_of(number: u32) -> String {
    format!("organisation-{number:04}")
}

/// A tree of organisations under one root, with one streaming pipeline and one service.
pub(super) fn capacity_tree(organisations: u32) -> Result<SettingsTree, CapacityError> {
    let mut by_name = Map::new();
    by_name.insert("root".to_owned(), root());
    for number in 0..organisations {
        by_name.insert(name_of(number), organisation(number));
    }
    let stage = json!({
        "name": "generation", "service": "generator", "path": "/run/generation",
        "is_repeatable": true, "is_streaming": true,
    });
    let tree = json!({
        "version": 0,
        "organisations": by_name,
        "pipelines": {"generate": {"stages": [stage]}},
        "services": {
            "generator": {"is_repeatable": true, "default_deadline_ms": 9000},
            "work": {
                "is_repeatable": true,
                "not_repeatable_paths": ["/settlements"],
                "default_deadline_ms": 9000,
            },
        },
    });
    Ok(SettingsTree::from_json(tree.to_string())?)
}

fn root() -> Value {
    json!({
        "class": "trial",
        "is_suspended": false,
        "overrides": {
            "limit_per_second": 100_000.0,
            "weight": 1,
            "max_in_flight": 100_000,
            "pipelines": ["generate"],
            "deadline_ms": 9000,
        },
    })
}

/// An organisation that overrides three fields, as organisations of a cooperative do.
fn organisation(number: u32) -> Value {
    json!({
        "parent": "root",
        "class": "paid",
        "is_suspended": false,
        "key_hash": KeyHash::of(key_of(number)),
        "overrides": {"limit_per_second": 100_000.0, "weight": 4, "max_in_flight": 100_000},
    })
}
