//! Parameters of a request's query.

use std::collections::BTreeMap;
use std::str::FromStr;

use hyper::Uri;

use crate::http::percent_decode;

/// Decoded query parameters; a pair that cannot be decoded is omitted.
#[derive(Debug)]
pub(crate) struct Query(BTreeMap<String, String>);

impl Query {
    /// Parses the query of a URI.
    pub(crate) fn of(uri: &Uri) -> Self {
        let pairs = uri.query().unwrap_or_default().split('&');
        Self(pairs.filter_map(decode_pair).collect())
    }

    /// The parameter of this name.
    pub(crate) fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    /// The parameter of this name, if it can be parsed.
    pub(crate) fn parse<T: FromStr>(&self, name: &str) -> Option<T> {
        self.get(name)?.parse().ok()
    }
}

fn decode_pair(pair: &str) -> Option<(String, String)> {
    let (name, value) = pair.split_once('=')?;
    Some((percent_decode(name)?, percent_decode(value)?))
}
