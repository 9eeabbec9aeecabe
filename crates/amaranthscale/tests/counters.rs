//! Counters that are sent to a statsd address.

use std::net::UdpSocket;
use std::time::Duration;

use amaranthscale::process::Counters;

/// Longest wait for a datagram on loopback.
const WAIT: Duration = Duration::from_secs(30);

#[test]
fn a_count_is_stored_and_sent_with_its_reason() {
    // Arrange
    let statsd = UdpSocket::bind("127.0.0.1:0").unwrap();
    statsd.set_read_timeout(Some(WAIT)).unwrap();
    let counters = Counters::with_statsd("amaranth.entry", statsd.local_addr().unwrap()).unwrap();

    // Act
    counters.count_reason("attempt.refused", "QueueFull");

    // Assert
    let mut datagram = [0; 512];
    let length = statsd.recv(&mut datagram).unwrap();
    let sent = String::from_utf8_lossy(&datagram[..length]);
    assert_eq!(sent.trim(), "amaranth.entry.attempt.refused.QueueFull:1|c");
    assert_eq!(counters.totals()["attempt.refused.QueueFull"], 1);
}
