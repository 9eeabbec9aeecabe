//! Numbered entries and servers, and a reproducible random generator.

use std::net::SocketAddr;

use amaranthscale_core::id::ServerIncarnation;

pub fn address(index: usize) -> SocketAddr {
    format!("10.{}.{}.1:7740", index / 250, index % 250)
        .parse()
        .unwrap()
}

pub fn addresses(count: usize) -> Vec<SocketAddr> {
    (0..count).map(address).collect()
}

pub fn server_incarnation(index: usize) -> ServerIncarnation {
    format!("server-{index}").parse().unwrap()
}

/// A small random generator with a fixed sequence per seed.
pub struct FixedRandom(pub u64);

impl FixedRandom {
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        usize::try_from(self.0 >> 33).unwrap() % bound
    }
}
