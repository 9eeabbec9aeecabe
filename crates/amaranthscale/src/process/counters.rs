//! Counters of what a process refused, retried and dropped, by reason.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, PoisonError};

use cadence::{Counted, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use quick_error::quick_error;

quick_error! {
    /// Metrics that could not be set up.
    #[derive(Debug)]
    pub enum CountersError {
        /// No socket for metrics.
        Socket(cause: std::io::Error) {
            display("the metrics socket cannot be opened: {cause}")
            source(cause)
            from()
        }
        /// The address for metrics was refused.
        Sink(cause: cadence::MetricError) {
            display("the metrics address cannot be used: {cause}")
            source(cause)
            from()
        }
    }
}

/// Counts by name and reason, shown in `/status` and sent to a statsd address if one is set.
#[derive(Debug)]
pub struct Counters {
    statsd: StatsdClient,
    totals: Mutex<BTreeMap<String, u64>>,
}

impl Counters {
    /// Counters that are only shown in `/status`.
    #[must_use]
    pub fn local(prefix: impl AsRef<str>) -> Self {
        Self::with_client(StatsdClient::from_sink(prefix.as_ref(), NopMetricSink))
    }

    /// Counters that are sent to a statsd address as well.
    pub fn with_statsd(prefix: impl AsRef<str>, statsd: SocketAddr) -> Result<Self, CountersError> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = QueuingMetricSink::from(UdpMetricSink::from(statsd, socket)?);
        Ok(Self::with_client(StatsdClient::from_sink(
            prefix.as_ref(),
            sink,
        )))
    }

    /// Counts one event.
    pub fn count(&self, name: &str) {
        self.add(name, 1);
    }

    /// Counts one event with its reason.
    pub fn count_reason(&self, name: &str, reason: impl std::fmt::Display) {
        self.add(&format!("{name}.{reason}"), 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &str, amount: u64) {
        // A lost metric is not worth an error: the totals below stay correct.
        let _ = self.statsd.count(name, amount);
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(total) = totals.get_mut(name) {
            *total += amount;
        } else {
            totals.insert(name.to_owned(), amount);
        }
    }

    /// All totals by name.
    #[must_use]
    pub fn totals(&self) -> BTreeMap<String, u64> {
        self.totals
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    fn with_client(statsd: StatsdClient) -> Self {
        Self {
            statsd,
            totals: Mutex::new(BTreeMap::new()),
        }
    }
}
