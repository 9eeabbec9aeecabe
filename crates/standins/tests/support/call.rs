//! Calls that tests make again and again.

use amaranthscale_standins::http::HttpClient;
use serde::Serialize;

/// Headers of a paid call.
pub fn call_headers(call_id: &str) -> [(&str, &str); 3] {
    [
        ("x-call-id", call_id),
        ("x-organisation", "north-growers"),
        ("x-class", "paid"),
    ]
}

/// Switches faults at `/admin/faults`.
pub async fn switch(client: &HttpClient, url: impl AsRef<str>, faults: &impl Serialize) {
    let body = serde_json::to_vec(faults).unwrap();
    let reply = client.post(url, &[], body).await.unwrap();
    reply.success().unwrap();
}
