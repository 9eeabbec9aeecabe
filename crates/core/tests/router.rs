//! Host selection by an entry's router.

#![expect(clippy::unwrap_used, reason = "fixtures of tests may panic")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use amaranthscale_core::ResultCode;
use amaranthscale_core::id::{HostId, Incarnation, ServiceId, TreeVersion, ZoneId};
use amaranthscale_core::process::{AttemptEnd, Router, RouterSettings, ServerAvailability};
use amaranthscale_core::unit::{Class, SidecarClock};
use amaranthscale_core::wire::{HostList, HostRecord, HostState, LoadReport, Stamp};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

fn service() -> ServiceId {
    "amaranth-pool".parse().unwrap()
}

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().unwrap()
}

fn list(version: u64, count: usize) -> HostList {
    let record = |number: usize| HostRecord {
        host: host(number),
        address: "10.0.0.1:7000".parse().unwrap(),
        region: "bc-coast".parse().unwrap(),
        zone: ZONES[number % ZONES.len()].parse().unwrap(),
        service: Some(service()),
        state: HostState::Live,
    };
    HostList {
        version,
        hosts: (0..count).map(record).collect(),
    }
}

fn stamp(number: usize, clock_ms: u64, load: LoadReport) -> Stamp {
    Stamp {
        host: host(number),
        incarnation: Incarnation::new(1),
        clock: SidecarClock::from_millis(clock_ms),
        tree_version: TreeVersion::new(1),
        is_leaving: false,
        backoff_ms: 0,
        load,
    }
}

fn idle() -> LoadReport {
    LoadReport {
        slots: 4,
        service_ms: 100,
        ..LoadReport::default()
    }
}

fn router(count: usize) -> Router {
    let settings = RouterSettings::new("hall-a".parse().unwrap()).with_spill_load(0.0);
    let mut router = Router::new(settings, 7);
    router.set_hosts(&list(1, count), Duration::ZERO);
    for number in 0..count {
        router.observe(&host(number), &stamp(number, 1, idle()), Duration::ZERO);
    }
    router
}

fn serve(router: &mut Router, requests: u64, times_ms: impl Fn(&HostId) -> u64) -> Duration {
    let mut now = Duration::from_secs(1);
    for _ in 0..requests {
        let chosen = router.choose(&service(), &[], None, now).unwrap();
        router.started(&chosen, now);
        let elapsed = Duration::from_millis(times_ms(&chosen));
        router.ended(&chosen, AttemptEnd::Complete, elapsed, now);
        now += Duration::from_millis(1);
    }
    now
}

fn fail(router: &mut Router, hosts: usize, rounds: usize) {
    for number in (0..hosts).cycle().take(hosts * rounds) {
        router.started(&host(number), Duration::ZERO);
        router.ended(
            &host(number),
            AttemptEnd::Failed,
            Duration::ZERO,
            Duration::ZERO,
        );
    }
}

/// One server takes five times as long as the others. It is ejected, gets no work for a while, and
/// then one probe request decides whether it is readmitted.
#[test]
fn a_slow_server_is_ejected_and_probed() {
    let mut router = router(6);
    let slow = host(2);
    let now = serve(
        &mut router,
        400,
        |host| if *host == slow { 500 } else { 100 },
    );
    assert_eq!(router.ejected(&service()).collect::<Vec<_>>(), [&slow]);

    let probed_at = now + Duration::from_secs(6);
    let probe = router.choose(&service(), &[], None, probed_at).unwrap();
    router.started(&probe, probed_at);
    let next = router.choose(&service(), &[], None, probed_at).unwrap();
    router.ended(
        &probe,
        AttemptEnd::Complete,
        Duration::from_millis(100),
        probed_at,
    );

    assert_eq!(probe, slow);
    assert_ne!(next, slow, "one probe at a time");
    assert_eq!(router.ejected(&service()).count(), 0);
}

/// A ledger server fails and is ejected, and its ejection ends while it is still broken. A grower's
/// settlement sent there as the probe would be lost and answered with "outcome unknown", although
/// five servers are healthy. Settlements go to one of these; the next repeatable request is the
/// probe.
#[test]
fn a_non_repeatable_request_is_never_the_probe() {
    let mut router = router(6);
    let broken = host(2);
    for _ in 0..3 {
        router.started(&broken, Duration::ZERO);
        let none = Duration::ZERO;
        router.ended(&broken, AttemptEnd::Failed, none, none);
    }
    assert_eq!(router.ejected(&service()).collect::<Vec<_>>(), [&broken]);

    let due_at = Duration::from_mins(1);
    let settlements: Vec<_> = (0..50)
        .map(|_| router.choose_for(&service(), &[], None, false, due_at))
        .collect();
    let repeatable = router.choose_for(&service(), &[], None, true, due_at);

    let is_safe = |chosen: &Result<HostId, _>| chosen.as_ref().is_ok_and(|host| *host != broken);
    assert!(settlements.iter().all(is_safe));
    assert_eq!(repeatable, Ok(broken));
}

/// Every server of a service fails. At most a third is ejected, as otherwise the rest would be
/// overloaded as soon as the service recovers.
#[test]
fn never_more_than_a_third_is_ejected() {
    for count in 1..10 {
        let mut router = router(count);

        fail(&mut router, count, 20);

        assert_eq!(
            router.ejected(&service()).count(),
            count / 3,
            "{count} hosts"
        );
        assert!(router.choose(&service(), &[], None, Duration::ZERO).is_ok());
    }
}

/// Hosts are removed from the list while others are ejected. Fewer hosts may then be ejected.
#[test]
fn a_shrinking_host_list_readmits_ejected_hosts() {
    let mut router = router(9);
    fail(&mut router, 3, 20);
    assert_eq!(router.ejected(&service()).count(), 3);

    router.set_hosts(&list(2, 5), Duration::ZERO);

    assert_eq!(router.ejected(&service()).count(), 1);
}

/// A sidecar reports that its backend server is leaving before the host list shows it. It gets no
/// more work, whatever an older list or a late answer shows.
#[test]
fn a_leaving_host_gets_no_work() {
    let mut router = router(3);
    let leaving = Stamp {
        is_leaving: true,
        ..stamp(0, 10, idle())
    };

    router.observe(&host(0), &leaving, Duration::ZERO);
    router.observe(&host(0), &stamp(0, 5, idle()), Duration::ZERO);
    router.set_hosts(&list(1, 3), Duration::ZERO);

    for _ in 0..100 {
        assert_ne!(
            router.choose(&service(), &[], None, Duration::ZERO),
            Ok(host(0))
        );
    }
    let all = [host(1), host(2)];
    let refusal = router
        .choose(&service(), &all, None, Duration::ZERO)
        .unwrap_err();
    assert_eq!(refusal.code, ResultCode::NoBackendServer);
}

/// Guards against work for a server that has turned a call of its sidecar away and wants none.
#[test]
fn a_host_whose_server_backs_off_gets_no_work_until_the_end() {
    let mut router = router(2);
    let backing_off = |number, backoff_ms| Stamp {
        backoff_ms,
        ..stamp(number, 10, idle())
    };
    router.observe(&host(0), &backing_off(0, 500), Duration::ZERO);
    let choose =
        |router: &mut Router, ms| router.choose(&service(), &[], None, Duration::from_millis(ms));

    for _ in 0..100 {
        assert_eq!(choose(&mut router, 499), Ok(host(1)));
    }
    router.observe(&host(1), &backing_off(1, 800), Duration::ZERO);
    let refusal = choose(&mut router, 100).unwrap_err();

    assert_eq!(refusal.code, ResultCode::ServersBackingOff);
    assert_eq!(refusal.retry_after_ms, 400);
    assert_eq!(choose(&mut router, 500), Ok(host(0)));
}

/// One server wrongly reports that it is idle while all others report a full queue. It must not
/// attract all requests: it gets no more than its chance of being one of two drawn at random.
#[test]
fn a_wrong_load_report_does_not_attract_all_requests() {
    let mut router = router(10);
    let full = LoadReport {
        queued_paid: 60,
        running: 4,
        ..idle()
    };
    for number in 1..10 {
        router.observe(&host(number), &stamp(number, 2, full), Duration::ZERO);
    }
    let mut counts: BTreeMap<HostId, u32> = BTreeMap::new();
    for _ in 0..1_000 {
        let chosen = router
            .choose(&service(), &[], None, Duration::ZERO)
            .unwrap();
        *counts.entry(chosen).or_default() += 1;
    }

    let misreporting = counts[&host(0)];
    assert!(misreporting < 250, "{misreporting} of 1000");
}

/// A new server joins a busy service. It has no measured times yet and must not attract all
/// requests.
#[test]
fn a_new_server_does_not_attract_all_requests() {
    let mut router = router(6);
    let now = serve(&mut router, 200, |_| 100);
    router.set_hosts(&list(2, 7), now);
    router.observe(&host(6), &stamp(6, 1, idle()), now);
    let mut new = 0;
    for _ in 0..70 {
        let chosen = router.choose(&service(), &[], None, now).unwrap();
        router.started(&chosen, now);
        new += u32::from(chosen == host(6));
    }

    assert!(new <= 20, "{new} of 70");
}

/// A server freezes with its connections open. Its answers stop without an error; it gets no more
/// work while others answer.
#[test]
fn a_frozen_server_is_avoided() {
    let mut router = router(4);
    router.started(&host(3), Duration::from_secs(1));
    let now = Duration::from_secs(4);

    for _ in 0..100 {
        assert_ne!(router.choose(&service(), &[], None, now), Ok(host(3)));
    }
}

/// An availability zone fails, and with it more than a third of a service, so that not all of its
/// hosts can be ejected. The lost hosts still get no work except an occasional probe.
#[test]
fn lost_hosts_are_avoided_beyond_the_ejection_limit() {
    let mut router = router(5);
    for number in 0..2 {
        router.started(&host(number), Duration::ZERO);
        router.ended(
            &host(number),
            AttemptEnd::TimedOut,
            Duration::ZERO,
            Duration::ZERO,
        );
    }
    let lost = [host(0), host(1)];
    let mut choices = |now: Duration| -> Vec<HostId> {
        let mut chosen_lost = Vec::new();
        for _ in 0..100 {
            let chosen = router.choose(&service(), &[], None, now).unwrap();
            router.started(&chosen, now);
            if lost.contains(&chosen) {
                chosen_lost.push(chosen);
            } else {
                router.ended(
                    &chosen,
                    AttemptEnd::Complete,
                    Duration::from_millis(100),
                    now,
                );
            }
        }
        chosen_lost
    };

    let soon = choices(Duration::from_millis(100));
    let later = choices(Duration::from_secs(3));

    assert!(soon.is_empty(), "{soon:?}");
    assert!(later.len() <= 2, "{later:?}");
}

/// A server refuses everything at once because of a wrong estimate. It answers quickly and looks
/// idle, so it would attract requests and refuse them; a refusing host must attract few.
#[test]
fn a_refusing_host_attracts_few_requests() {
    let mut router = router(6);
    let mut now = serve(&mut router, 200, |_| 100);
    let busy = LoadReport {
        running: 4,
        queued_paid: 2,
        ..idle()
    };
    for number in 1..6 {
        router.observe(&host(number), &stamp(number, 2, busy), now);
    }
    let mut refused = 0;
    for _ in 0..100 {
        let chosen = router.choose(&service(), &[], None, now).unwrap();
        router.started(&chosen, now);
        let end = if chosen == host(0) {
            refused += 1;
            AttemptEnd::Refused(ResultCode::DeadlineUnreachable)
        } else {
            AttemptEnd::Complete
        };
        router.ended(&chosen, end, Duration::from_millis(100), now);
        now += Duration::from_millis(2);
    }

    assert!(refused <= 12, "{refused} of 100");
}

/// Requests go to the entry's own availability zone until it is loaded, and then to others too.
#[test]
fn the_own_zone_is_preferred_until_it_is_loaded() {
    let settings = RouterSettings::new("hall-b".parse().unwrap());
    let mut router = Router::new(settings, 7);
    router.set_hosts(&list(1, 9), Duration::ZERO);
    for number in 0..9 {
        router.observe(&host(number), &stamp(number, 1, idle()), Duration::ZERO);
    }
    let mut zones = Vec::new();
    for _ in 0..30 {
        let chosen = router
            .choose(&service(), &[], None, Duration::ZERO)
            .unwrap();
        router.started(&chosen, Duration::ZERO);
        zones.push(router.host(&chosen).unwrap().zone.to_string());
    }

    assert!(zones[..6].iter().all(|zone| zone == "hall-b"), "{zones:?}");
    assert!(zones[6..].iter().any(|zone| zone != "hall-b"), "{zones:?}");
}

/// Requests with the same prefix go to one host until it is busier than the others.
#[test]
fn affinity_yields_to_load() {
    let mut router = router(6);
    let first = router
        .choose(&service(), &[], Some(42), Duration::ZERO)
        .unwrap();
    let second = router
        .choose(&service(), &[], Some(42), Duration::ZERO)
        .unwrap();
    for _ in 0..8 {
        router.started(&first, Duration::ZERO);
    }
    let spilled = router
        .choose(&service(), &[], Some(42), Duration::ZERO)
        .unwrap();

    assert_eq!(first, second);
    assert_ne!(spilled, first);
}

/// The subset of an entry barely changes when a host is removed, and differs between entries.
#[test]
fn subsets_are_stable() {
    let subset_of = |seed: u64, count: usize| {
        let zone = "hall-a".parse().unwrap();
        let mut router = Router::new(RouterSettings::new(zone).with_subset_size(8), seed);
        router.set_hosts(&list(1, count), Duration::ZERO);
        router.subset(&service()).cloned().collect::<Vec<_>>()
    };
    let before = subset_of(1, 40);
    let after = subset_of(1, 39);
    let other = subset_of(2, 40);

    let kept = after.iter().filter(|host| before.contains(host)).count();
    assert!(kept >= 7, "{kept} kept");
    assert_ne!(before, other);
}

/// Queues are reported by class: paid work waits for less.
#[test]
fn estimates_differ_by_class() {
    let mut router = router(3);
    let surge = LoadReport {
        queued_trial: 40,
        running: 4,
        ..idle()
    };
    for number in 0..3 {
        router.observe(&host(number), &stamp(number, 2, surge), Duration::ZERO);
    }

    let paid = router.estimate(&service(), Class::Paid, Duration::ZERO);
    let trial = router.estimate(&service(), Class::Trial, Duration::ZERO);

    assert_eq!(paid.service_ms, 100);
    assert!(paid.queue_ms < 100, "{paid:?}");
    assert!(trial.queue_ms >= 1_000, "{trial:?}");
}

/// Operators evacuate an availability zone. None of its hosts is chosen, not even as a probe, until
/// the zone is taken back; without another zone requests are refused with a code for it.
#[test]
fn an_evacuated_zone_is_not_chosen() {
    let mut router = router(6);
    let zone_of = |router: &Router, host: &HostId| router.host(host).unwrap().zone.clone();
    let all: BTreeSet<ZoneId> = ZONES.iter().map(|zone| zone.parse().unwrap()).collect();
    let one = all.first().unwrap().clone();

    router.set_evacuated(&BTreeSet::from([one.clone()]));
    for affinity in 0..40 {
        let chosen = router.choose(&service(), &[], Some(affinity), Duration::ZERO);
        assert_ne!(zone_of(&router, &chosen.unwrap()), one);
    }
    assert_eq!(
        router.availability(&host(0), Duration::ZERO),
        ServerAvailability::Evacuated
    );

    router.set_evacuated(&all);
    let refused = router
        .choose(&service(), &[], None, Duration::ZERO)
        .unwrap_err();
    assert_eq!(refused.code, ResultCode::ZonesEvacuated);

    router.set_evacuated(&BTreeSet::new());
    assert!(router.choose(&service(), &[], None, Duration::ZERO).is_ok());
    assert_eq!(
        router.availability(&host(0), Duration::ZERO),
        ServerAvailability::Free
    );
}
