//! A small settings tree for measurements.

use amaranthscale_core::version::{KeyHash, SettingsTree};
use serde_json::json;

/// Bearer key of the organisation `measure`.
pub const DEMO_KEY: &str = "demo-measure";

/// A tree with one paid organisation, a four-stage pipeline and an echo service.
///
/// # Panics
///
/// Never: the tree is valid.
#[must_use]
pub fn demo_tree() -> SettingsTree {
    let stage = |name: &str, service: &str, operation: &str| {
        json!({
            "name": name,
            "service": service,
            "path": format!("/run/{operation}"),
            "is_repeatable": true,
            "is_streaming": false,
        })
    };
    let service = json!({"is_repeatable": true, "default_deadline_ms": 9000});
    let tree = json!({
        "version": 0,
        "organisations": {
            "root": {
                "class": "trial",
                "is_suspended": false,
                "overrides": {
                    "limit_per_second": 100_000.0,
                    "weight": 1,
                    "max_in_flight": 10_000,
                    "pipelines": ["quick"],
                    "deadline_ms": 9000,
                },
            },
            "measure": {
                "parent": "root",
                "class": "paid",
                "is_suspended": false,
                "key_hash": KeyHash::of(DEMO_KEY),
                "overrides": {},
            },
        },
        "pipelines": {
            "quick": {"stages": [
                stage("encoding", "encoders", "encoding"),
                stage("retrieval", "retrievers", "retrieval"),
                stage("reranking", "rerankers", "reranking"),
                stage("tag", "taggers", "tag"),
            ]},
        },
        "services": {
            "encoders": service, "retrievers": service, "rerankers": service,
            "taggers": service, "echo": service,
        },
    });
    SettingsTree::from_json(tree.to_string()).expect("the tree is valid")
}
