//! Calls that many tests make.

use amaranthscale_standins::http::HttpClient;
use serde::Serialize;

/// Headers of a call of class `paid`.
pub fn call_headers(call_id: &str) -> [(&str, &str); 3] {
    [
        ("x-call-id", call_id),
        ("x-organisation", "north-growers"),
        ("x-class", "paid"),
    ]
}

/// Posts faults to the `/admin/faults` of a stand-in.
pub async fn set_faults(client: &HttpClient, url: impl AsRef<str>, faults: &impl Serialize) {
    let body = serde_json::to_vec(faults).unwrap();
    let reply = client.post(url, &[], body).await.unwrap();
    reply.success().unwrap();
}
