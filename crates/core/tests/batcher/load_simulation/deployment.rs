use std::time::Duration;

use amaranthscale_core::version::BatchSpec;

/// Result storage of each server.
pub const CAPACITY_BYTES: u64 = 9_600_000;
const RETENTION: Duration = Duration::from_secs(4);

/// Servers of one stage service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLoad {
    pub name: &'static str,
    pub servers: u32,
    pub result_bytes: u64,
    pub max_pieces: usize,
    pub piece_ms: u64,
}

impl ServiceLoad {
    pub const fn spec(&self) -> BatchSpec {
        BatchSpec {
            slots: 1,
            max_pieces: self.max_pieces,
            call_time: Duration::from_millis(240),
            piece_time: Duration::from_millis(self.piece_ms),
            result_capacity_bytes: CAPACITY_BYTES,
            result_retention: RETENTION,
        }
    }
}

/// Requests of one route.
#[derive(Debug, Clone, Copy)]
pub struct RouteLoad {
    pub name: &'static str,
    /// Index of the service and number of pieces of each stage.
    pub stages: &'static [(usize, usize)],
    pub target_ms: u64,
    pub deadline_ms: u64,
    pub rank: u8,
    /// Value of an answer.
    pub value: f64,
    /// Requests per second that, with the other routes, take all of the servers' time.
    pub per_second: f64,
}

/// Services and routes. All services are busy for the same fraction of their time at the usual mix
/// of requests.
#[derive(Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub services: &'static [ServiceLoad],
    pub routes: &'static [RouteLoad],
}

impl Deployment {
    pub fn service(&self, name: &str) -> &'static ServiceLoad {
        let services = self.services.iter();
        services.into_iter().find(|load| load.name == name).unwrap()
    }

    /// Index of the route with the least urgent rank.
    pub fn least_urgent(&self) -> usize {
        let routes = self.routes.iter().enumerate();
        let least = routes.max_by_key(|(_, route)| route.rank);
        least.unwrap().0
    }
}

const fn service(name: &'static str, servers: u32, result_bytes: u64) -> ServiceLoad {
    ServiceLoad {
        name,
        servers,
        result_bytes,
        max_pieces: 8,
        piece_ms: 26,
    }
}

/// Four services with small calls; one of them is limited by its result storage as well.
pub static FOUR_SERVICES: Deployment = Deployment {
    name: "four services",
    services: &[
        service("segment", 16, 800_000),
        service("encode", 3, 8_000),
        service("retrieve", 9, 60_000),
        service("rerank", 13, 6_000),
    ],
    routes: &[
        RouteLoad {
            name: "one-stage",
            stages: &[(0, 2)],
            target_ms: 1_000,
            deadline_ms: 10_000,
            rank: 1,
            value: 8.0,
            per_second: 70.0,
        },
        RouteLoad {
            name: "three-stages",
            stages: &[(1, 1), (2, 4), (3, 6)],
            target_ms: 2_000,
            deadline_ms: 12_000,
            rank: 0,
            value: 1.0,
            per_second: 25.0,
        },
        RouteLoad {
            name: "four-stages",
            stages: &[(1, 1), (2, 4), (3, 6), (0, 2)],
            target_ms: 4_000,
            deadline_ms: 6_000,
            rank: 2,
            value: 0.15,
            per_second: 12.0,
        },
    ],
};

/// Three services with calls of up to 40 pieces; the least urgent rank has much of the work.
pub static THREE_SERVICES: Deployment = Deployment {
    name: "three services",
    services: &[
        ServiceLoad {
            name: "encode",
            servers: 15,
            result_bytes: 8_000,
            max_pieces: 40,
            piece_ms: 5,
        },
        ServiceLoad {
            name: "retrieve",
            servers: 15,
            result_bytes: 20_000,
            max_pieces: 16,
            piece_ms: 11,
        },
        ServiceLoad {
            name: "rerank",
            servers: 15,
            result_bytes: 6_000,
            max_pieces: 8,
            piece_ms: 21,
        },
    ],
    routes: &[
        RouteLoad {
            name: "two-stages",
            stages: &[(0, 10), (2, 3)],
            target_ms: 1_500,
            deadline_ms: 6_000,
            rank: 0,
            value: 1.0,
            per_second: 16.0,
        },
        RouteLoad {
            name: "three-stages",
            stages: &[(0, 12), (1, 6), (2, 2)],
            target_ms: 2_500,
            deadline_ms: 10_000,
            rank: 1,
            value: 1.0,
            per_second: 35.0,
        },
        RouteLoad {
            name: "four-stages",
            stages: &[(0, 10), (0, 8), (1, 8), (2, 4)],
            target_ms: 4_000,
            deadline_ms: 15_000,
            rank: 2,
            value: 1.0,
            per_second: 40.0,
        },
    ],
};
