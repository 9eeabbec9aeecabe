//! The choice of an engine by measured speed.

use std::collections::BTreeSet;
use std::time::Duration;

use amaranthscale_core::id::{CallId, InstanceId, ServerIncarnation};
use amaranthscale_core::process::{
    DecodeLoad, EngineEstimate, EnginePrompt, PromptHomes, SPEED_FORMAT, ServerLoad, ServerRecord,
    ServerSelector, SpeedClass, SpeedUpdate, SpeedVersion,
};
use amaranthscale_core::version::TransferSpec;

const NOW: Duration = Duration::from_secs(100);
static NO_HOMES: PromptHomes = PromptHomes {
    home: None,
    previous: None,
    second: None,
    is_uneven: false,
    is_split: false,
    recent: Vec::new(),
};

fn engines(count: usize) -> Vec<ServerRecord> {
    let engine = |index| ServerRecord {
        incarnation: format!("e{index}").parse().unwrap(),
        service: "engines".parse().unwrap(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: "north".parse().unwrap(),
        slots: 64,
        is_leaving: false,
        cold_left: None,
        software_version: None,
    };
    (0..count).map(engine).collect()
}

/// A selector with estimates in ms for 1,000 tokens, by the number of the engine, and the classes
/// that the collector gives engines that have been as fast for long.
fn selector(engines: &[ServerRecord], prefill_ms: impl Fn(usize) -> u32) -> ServerSelector {
    let mut sorted: Vec<_> = (0..engines.len()).map(&prefill_ms).collect();
    sorted.sort_unstable();
    let median_ms = f64::from(sorted[sorted.len() / 2]);
    selector_with(engines, |index| {
        let relative_speed = median_ms / f64::from(prefill_ms(index));
        let class = SpeedClass::USUAL.after(relative_speed);
        (prefill_ms(index) * 1_000, 40_000, class)
    })
}

fn selector_with(
    engines: &[ServerRecord],
    estimate: impl Fn(usize) -> (u32, u32, SpeedClass),
) -> ServerSelector {
    let mut selector = ServerSelector::default();
    let update = selector_update(engines, estimate);
    assert_eq!(selector.engine_speeds_mut().apply(update, NOW), 0);
    selector
}

fn selector_update(
    engines: &[ServerRecord],
    estimate: impl Fn(usize) -> (u32, u32, SpeedClass),
) -> SpeedUpdate {
    let estimates = engines.iter().enumerate().map(|(index, engine)| {
        let (prefill_ns, event_us, class) = estimate(index);
        let estimate = EngineEstimate {
            prefill_ns,
            event_us: Some(event_us),
            decode: None,
            recent_percent: 100,
            class,
        };
        (engine.incarnation.clone(), Some(estimate))
    });
    let collector: InstanceId = "g1".parse().unwrap();
    SpeedUpdate {
        format: SPEED_FORMAT,
        version: SpeedVersion {
            collector,
            number: 1,
        },
        is_complete: true,
        estimates: estimates.collect(),
    }
}

fn prompt(shared_prefix: &str, tokens: u64, shared_tokens: u64) -> EnginePrompt<'_> {
    EnginePrompt {
        shared_prefix,
        homes: &NO_HOMES,
        tokens,
        shared_tokens,
        acceptable_time: Duration::ZERO,
        time_left: Duration::ZERO,
        max_event_gap: Some(Duration::from_millis(400)),
        fetch: None,
    }
}

/// The home of a prefix among engines; nothing was seen to hold it.
fn homes(selector: &ServerSelector, engines: &[ServerRecord], prefix: &str) -> PromptHomes {
    selector.prompt_homes(&engines.iter().collect(), prefix, Vec::new(), NOW)
}

fn chosen(
    selector: &ServerSelector,
    engines: &[ServerRecord],
    prompt: &EnginePrompt<'_>,
) -> ServerIncarnation {
    let homes = homes(selector, engines, prompt.shared_prefix);
    let prompt = EnginePrompt {
        homes: &homes,
        ..*prompt
    };
    let usable = engines.iter().collect();
    let chosen = selector.select_engine_by_speed(usable, &BTreeSet::new(), &prompt, NOW);
    chosen.unwrap().incarnation.clone()
}

fn by_affinity(
    selector: &ServerSelector,
    engines: &[ServerRecord],
    prefix: &str,
) -> ServerIncarnation {
    let usable = engines.iter().collect();
    let chosen = selector.select_engine(usable, &BTreeSet::new(), prefix, NOW);
    chosen.unwrap().incarnation.clone()
}

fn prefixes() -> Vec<String> {
    (0..200).map(|index| format!("part-{index}")).collect()
}

/// Guards against a change for deployments whose engines are equally fast.
#[test]
fn even_engines_are_chosen_as_by_affinity() {
    let engines = engines(9);
    let even = selector(&engines, |index| if index < 4 { 30 } else { 34 });
    let unmeasured = ServerSelector::default();

    for selector in [&even, &unmeasured] {
        for prefix in prefixes() {
            let expected = by_affinity(selector, &engines, &prefix);
            let prompt = prompt(&prefix, 60_000, 5_000);
            assert_eq!(chosen(selector, &engines, &prompt), expected);
            assert_eq!(homes(selector, &engines, &prefix).home.unwrap(), expected);
        }
    }
}

/// Guards against a large prompt that waits for a slow engine, and against small ones that leave
/// the engine which has read their shared part.
#[test]
fn a_large_prompt_leaves_a_slow_home_and_a_small_one_stays() {
    let engines = engines(9);
    let selector = selector(&engines, |index| if index < 3 { 13 } else { 30 });
    let is_fast =
        |engine: &ServerIncarnation| engines[..3].iter().any(|e| e.incarnation == *engine);

    for prefix in prefixes() {
        let home = homes(&selector, &engines, &prefix).home.unwrap();
        let large = chosen(&selector, &engines, &prompt(&prefix, 60_000, 5_000));
        let small = chosen(&selector, &engines, &prompt(&prefix, 7_000, 5_000));
        assert!(is_fast(&large), "{prefix}: {large}");
        assert_eq!(small, home);
    }
}

/// Guards against a prompt that is prefilled again at another engine for a small gain, and one that
/// stays although the other engine can fetch the shared part.
#[test]
fn a_prompt_leaves_more_readily_where_shared_parts_are_fetched() {
    let engines = engines(9);
    let selector = selector(&engines, |index| if index < 3 { 13 } else { 30 });
    let prefix = prefixes()
        .into_iter()
        .find(|prefix| by_affinity(&selector, &engines, prefix) == engines[5].incarnation)
        .unwrap();
    let prefilled = prompt(&prefix, 30_000, 10_000);
    let fetched = EnginePrompt {
        fetch: Some(TransferSpec {
            bytes_per_token: 18_432,
            bytes_per_s: 92_500_000_000,
            can_back_up: true,
            can_move: true,
            copy_retention: Duration::from_secs(5),
        }),
        ..prefilled
    };

    assert_eq!(
        chosen(&selector, &engines, &prefilled),
        engines[5].incarnation
    );
    assert_ne!(
        chosen(&selector, &engines, &fetched),
        engines[5].incarnation
    );
}

/// Guards against a large prompt that waits until another large one is prefilled.
#[test]
fn a_large_prompt_does_not_queue_behind_another() {
    let engines = engines(9);
    let mut selector = selector(&engines, |index| if index < 3 { 13 } else { 30 });
    let first = chosen(&selector, &engines, &prompt("part", 60_000, 5_000));
    let record = engines
        .iter()
        .find(|engine| engine.incarnation == first)
        .unwrap();
    let run = selector
        .engine_speeds_mut()
        .begin_run(record, 60_000, 0, NOW);

    let second = chosen(&selector, &engines, &prompt("part", 60_000, 5_000));
    selector.engine_speeds_mut().record_event(&first, run, NOW);
    let third = chosen(&selector, &engines, &prompt("part", 60_000, 5_000));

    assert_ne!(second, first);
    assert_eq!(third, first, "the first one is prefilled");
}

/// Guards against streams at an engine whose events are further apart than callers accept.
#[test]
fn an_engine_with_slow_events_is_avoided() {
    let engines = engines(5);
    let selector = selector_with(&engines, |index| {
        let event_us = if index == 2 { 500_000 } else { 40_000 };
        (
            if index == 2 { 20_000 } else { 30_000 },
            event_us,
            SpeedClass::USUAL,
        )
    });

    for prefix in prefixes() {
        let engine = chosen(&selector, &engines, &prompt(&prefix, 7_000, 5_000));
        assert_ne!(engine, engines[2].incarnation);
    }
}

/// Guards against an engine that stalls: its next estimate is published only after its runs end.
#[test]
fn an_own_overdue_run_counts_at_once() {
    let engines = engines(5);
    let mut selector = selector(&engines, |_| 30);
    let home = chosen(&selector, &engines, &prompt("part", 12_000, 5_000));
    let record = engines
        .iter()
        .find(|engine| engine.incarnation == home)
        .unwrap();
    let sent_at = NOW.checked_sub(Duration::from_secs(2)).unwrap();
    selector
        .engine_speeds_mut()
        .begin_run(record, 7_000, 0, sent_at);

    let engine = chosen(&selector, &engines, &prompt("part", 12_000, 5_000));

    assert_ne!(engine, home);
}

/// Guards against fast engines that are home of no more prefixes than slow ones, and against
/// prefixes that move between engines whose class has not changed.
#[test]
fn a_faster_class_takes_prefixes_in_proportion_and_moves_no_others() {
    let engines = engines(10);
    let fast = SpeedClass::USUAL.after(2.0);
    let homes_at = |class: SpeedClass| {
        let class_of = |index| if index == 0 { class } else { SpeedClass::USUAL };
        let selector = selector_with(&engines, |index| (30_000, 40_000, class_of(index)));
        let home = |prefix: String| homes(&selector, &engines, &prefix).home;
        let prefixes = (0..2_000).map(|index| format!("part-{index}"));
        prefixes
            .map(|prefix| home(prefix).unwrap())
            .collect::<Vec<_>>()
    };

    let (before, after) = (homes_at(SpeedClass::USUAL), homes_at(fast));

    let count = |homes: &[ServerIncarnation]| {
        let first = homes.iter().filter(|home| **home == engines[0].incarnation);
        first.count()
    };
    assert!((150..250).contains(&count(&before)), "{}", count(&before));
    assert!((310..420).contains(&count(&after)), "{}", count(&after));
    let mut moved = before.iter().zip(&after).filter(|(a, b)| a != b);
    assert!(moved.all(|(_, to)| *to == engines[0].incarnation));
}

/// Leaving a home that answers in time prefills shared parts again for nothing.
#[test]
fn a_prompt_stays_at_a_home_that_answers_soon_enough() {
    let engines = engines(12);
    let selector = selector(&engines, |index| if index < 3 { 13 } else { 30 });
    let prefix = prefixes()
        .into_iter()
        .find(|prefix| by_affinity(&selector, &engines, prefix) == engines[5].incarnation)
        .unwrap();
    let urgent = prompt(&prefix, 40_000, 2_000);
    let patient = EnginePrompt {
        acceptable_time: Duration::from_secs(2),
        ..urgent
    };

    assert_ne!(chosen(&selector, &engines, &urgent), engines[5].incarnation);
    assert_eq!(
        chosen(&selector, &engines, &patient),
        engines[5].incarnation
    );
}

/// Guards against a log without expected times, which could not be compared with the actual ones,
/// wherever engines are equally fast.
#[test]
fn a_first_event_is_estimated_for_the_log_even_if_engines_are_equally_fast() {
    let engines = engines(4);
    let usable = engines.iter().collect();
    let even = selector(&engines, |_| 30);
    let prompt = prompt("call-1", 9_000, 0);

    let estimate = |selector: &ServerSelector| {
        selector.estimated_first_event(&engines[0], &usable, &prompt, NOW)
    };

    assert_eq!(
        even.expected_first_event(&engines[0], &usable, &prompt, NOW),
        None
    );
    assert_eq!(estimate(&even), Some(Duration::from_millis(300)));
    assert_eq!(estimate(&ServerSelector::default()), None);
}

/// Guards against a choice, samples and expected times that disagree on the engine which holds the
/// shared parts: the engine that they are sent to would seem three times as fast as it is.
#[test]
fn the_home_of_a_choice_counts_for_its_samples_and_expected_times() {
    let engines = engines(4);
    let mut selector = selector(&engines, |index| if index < 2 { 20 } else { 30 });
    let all_homes = homes(&selector, &engines, "part-1");
    // As if the engine that is first by its hash could not be used at the choice.
    let mut others = engines.iter();
    let other = others.find(|engine| !all_homes.is_home(&engine.incarnation));
    let other = other.unwrap();
    let homes = PromptHomes {
        home: Some(other.incarnation.clone()),
        ..PromptHomes::default()
    };
    let prompt = EnginePrompt {
        homes: &homes,
        ..prompt("part-1", 9_000, 6_000)
    };

    let usable = engines.iter().collect();
    let expected = selector.expected_first_event(other, &usable, &prompt, NOW);
    let run = selector.begin_engine_run(other, &prompt, NOW);
    let speeds = selector.engine_speeds_mut();
    speeds.record_event(&other.incarnation, run, NOW + Duration::from_millis(120));
    let report = speeds.report_to(&"g1".parse().unwrap(), NOW);

    assert!(expected.unwrap() <= Duration::from_millis(4 * 30));
    let tokens: Vec<_> = report
        .samples
        .iter()
        .flat_map(|(_, samples)| samples.prefills.iter().map(|sample| sample.tokens))
        .collect();
    assert_eq!(tokens, [4_000], "own tokens and the fixed part");
}

/// Guards against fetches from an engine that does not hold the parts, or by one that does.
#[test]
fn parts_are_fetched_from_engines_that_were_seen_to_hold_them_and_then_from_the_home() {
    let id = |name: &str| -> ServerIncarnation { name.parse().unwrap() };
    let homes = PromptHomes {
        home: Some(id("home")),
        recent: vec![id("late"), id("early")],
        ..PromptHomes::default()
    };
    let sources = |engine: &str| -> Vec<_> { homes.sources(&id(engine)).cloned().collect() };

    assert_eq!(sources("other"), [id("late"), id("early"), id("home")]);
    assert_eq!(sources("home"), [id("late"), id("early")]);
    assert_eq!(sources("early"), []);
}

/// Guards against parts that are prefilled again at their new home after each change of the engines'
/// classes, although the former home still holds them.
#[test]
fn a_new_home_fetches_from_the_former_one_for_a_while() {
    let engines = engines(10);
    let mut selector = selector(&engines, |_| 30);
    let prefixes = prefixes();
    let former: Vec<_> = prefixes
        .iter()
        .map(|prefix| homes(&selector, &engines, prefix))
        .collect();
    assert!(former.iter().all(|homes| homes.previous.is_none()));
    let update = selector_update(&engines, |index| {
        let is_fast = index == 0;
        let class = SpeedClass::USUAL.after(if is_fast { 2.0 } else { 1.0 });
        (30_000, 40_000, class)
    });
    assert_eq!(selector.engine_speeds_mut().apply(update, NOW), 0);

    let mut moved = 0;
    for (prefix, former) in prefixes.iter().zip(&former) {
        let homes = homes(&selector, &engines, prefix);
        let home = homes.home.clone().unwrap();
        if former.is_home(&home) {
            assert_eq!(homes.previous, None);
        } else {
            moved += 1;
            assert_eq!(homes.previous, former.home);
            assert_eq!(homes.sources(&home).next(), former.home.as_ref());
        }
    }
    assert!(moved > 10, "{moved} of 200 moved");
    let later = NOW + Duration::from_mins(1);
    let usable = engines.iter().collect();
    let has_former = |prefix: &String| {
        let homes = selector.prompt_homes(&usable, prefix, Vec::new(), later);
        homes.previous.is_some()
    };
    assert!(!prefixes.iter().any(has_former));
}

/// Guards against a prompt that leaves the home of its shared part although it would begin in time
/// there, and against one that goes where the part is not held although another engine holds it.
#[test]
fn a_prompt_leaves_its_home_only_if_late_and_first_for_an_engine_that_holds_its_parts() {
    let engines = engines(9);
    let selector = selector(&engines, |index| if index < 3 { 15 } else { 30 });
    let is_slow = |homes: &PromptHomes| {
        let mut slow = engines[3..].iter();
        slow.any(|engine| homes.is_home(&engine.incarnation))
    };
    let prefixes = prefixes();
    let mut all = prefixes.iter().map(|prefix| {
        let homes = homes(&selector, &engines, prefix);
        (prefix, homes)
    });
    let (prefix, mut homes) = all.find(|(_, homes)| is_slow(homes)).unwrap();
    let usable = || engines.iter().collect();
    let select = |homes: &PromptHomes, time_left| {
        let prompt = EnginePrompt {
            homes,
            time_left,
            ..prompt(prefix, 60_000, 5_000)
        };
        let chosen = selector.select_engine_by_speed(usable(), &BTreeSet::new(), &prompt, NOW);
        chosen.unwrap().incarnation.clone()
    };

    // 1,680 ms are expected at the home, and 840 ms at a fast engine that holds the part.
    let home = homes.home.clone().unwrap();
    assert_eq!(select(&homes, Duration::from_millis(4_300)), home);
    let other = select(&homes, Duration::from_secs(4));
    assert_ne!(other, home);

    let mut fast = engines[..3].iter().map(|engine| &engine.incarnation);
    let holder = fast.find(|engine| **engine != other).unwrap().clone();
    homes.recent = vec![holder.clone()];
    assert_eq!(select(&homes, Duration::from_secs(4)), holder);
}

fn load(running: u32) -> ServerLoad {
    ServerLoad {
        running,
        waiting: 0,
        slots: 64,
    }
}

/// A prompt's homes for a call, with a split if the home is busy.
fn split(
    selector: &mut ServerSelector,
    engines: &[ServerRecord],
    call: &CallId,
    now: Duration,
) -> PromptHomes {
    let usable = engines.iter().collect();
    let homes = selector.prompt_homes(&usable, "part-1", Vec::new(), now);
    selector.split_homes(homes, &usable, call, now)
}

fn calls() -> Vec<CallId> {
    let ids = (0..200).map(|index| format!("{index:016x}"));
    ids.map(|id| id.parse().unwrap()).collect()
}

/// Guards against a busy home that keeps all prompts until it is full, against gateways that split
/// them differently, and against a split that begins and ends with each report.
#[test]
fn a_busy_home_is_split_with_the_second_engine_until_it_has_free_slots() {
    let engines = engines(9);
    let mut selector = selector(&engines, |_| 30);
    let unsplit = homes(&selector, &engines, "part-1");
    let (home, second) = (unsplit.home.unwrap(), unsplit.second.unwrap());
    let calls = calls();
    let mut report = |loads: [u32; 2]| {
        selector.record_load(&home, load(loads[0]), NOW);
        selector.record_load(&second, load(loads[1]), NOW);
        let split = |call| split(&mut selector, &engines, call, NOW);
        calls.iter().map(split).collect::<Vec<_>>()
    };
    let is_split = |all: &[PromptHomes]| all.iter().all(|homes| homes.is_split);
    let is_unsplit = |all: &[PromptHomes]| all.iter().all(|homes| !homes.is_split);

    // Of 64 slots, 40% are 25.6 and 60% are 38.4.
    assert!(is_unsplit(&report([38, 0])));
    assert!(is_unsplit(&report([50, 26])));
    let begun = report([39, 25]);
    assert!(is_split(&begun));
    let exchanged = begun.iter().filter(|homes| homes.is_home(&second));
    assert!((70..130).contains(&exchanged.count()));
    for homes in &begun {
        assert!(homes.is_home(&home) || homes.is_home(&second));
        assert!(homes.holds(&home) && homes.holds(&second));
        assert_eq!(homes.sources(&second).next(), Some(&home));
    }
    // The split itself raises the load of the second engine and lowers that of the home.
    assert_eq!(report([30, 35]), begun);
    assert!(is_unsplit(&report([25, 35])));
    assert!(is_unsplit(&report([30, 20])));

    report([50, 10]);
    let mut other_gateway = self::selector(&engines, |_| 30);
    other_gateway.record_load(&home, load(45), NOW);
    for call in &calls {
        let of_both = [&mut selector, &mut other_gateway];
        let [own, others] = of_both.map(|gateway| split(gateway, &engines, call, NOW));
        assert_eq!(own, others);
    }
    let later = NOW + Duration::from_secs(3);
    let stale = split(&mut selector, &engines, &calls[0], later);
    assert!(!stale.is_split, "a report of 3 s ago does not count");
}

/// Guards against a split that no choice follows, where engines are equally fast and where they
/// are not, and against one that sends prompts to the slower of the two although it is late.
#[test]
fn a_split_prompt_goes_to_its_half_unless_the_other_engine_is_clearly_earlier() {
    let engines = engines(9);
    for slow_ms in [30, 45] {
        let mut selector = selector(&engines, |index| if index == 8 { slow_ms } else { 30 });
        let unsplit = homes(&selector, &engines, "part-1");
        let (home, second) = (unsplit.home.unwrap(), unsplit.second.unwrap());
        selector.record_load(&home, load(40), NOW);

        for call in calls() {
            let homes = split(&mut selector, &engines, &call, NOW);
            let prompt = EnginePrompt {
                homes: &homes,
                time_left: Duration::from_secs(10),
                ..prompt("part-1", 9_000, 5_000)
            };
            let usable = engines.iter().collect();
            let chosen = selector.select_engine_by_speed(usable, &BTreeSet::new(), &prompt, NOW);
            assert_eq!(Some(&chosen.unwrap().incarnation), homes.home.as_ref());
        }
        assert_ne!(home, second);
    }
}

/// Guards against streams that are too slow because of their number: by the mean time of events, the
/// engine seems fast enough for one more.
#[test]
fn an_engine_whose_events_would_be_slow_with_one_more_request_is_avoided() {
    let engines = engines(5);
    let decode = DecodeLoad {
        running: 20,
        slope_ns: 10_000_000,
    };
    let is_chosen = |running| {
        // At the first engine, which is faster: 300 ms with 20 requests and 10 ms for each more, of
        // 320 ms that an event may take where 400 ms are allowed between two of them.
        let mut update = selector_update(&engines, |index| {
            let is_fast = index == 0;
            let (prefill_ns, event_us) = if is_fast { (15, 300) } else { (30, 40) };
            let class = SpeedClass::USUAL.after(if is_fast { 2.0 } else { 1.0 });
            (prefill_ns * 1_000, event_us * 1_000, class)
        });
        for (incarnation, estimate) in &mut update.estimates {
            let estimate = estimate.as_mut().unwrap();
            estimate.decode = (*incarnation == engines[0].incarnation).then_some(decode);
        }
        let mut selector = ServerSelector::default();
        assert_eq!(selector.engine_speeds_mut().apply(update, NOW), 0);
        selector.record_load(&engines[0].incarnation, load(running), NOW);
        let prompt = prompt("call", 40_000, 0);
        chosen(&selector, &engines, &prompt) == engines[0].incarnation
    };

    assert!(is_chosen(20));
    assert!(is_chosen(10));
    assert!(!is_chosen(22));
}

/// Guards against prompts that leave the engine with their shared parts because estimates of equally
/// fast engines differ for a moment; one engine of ten that is three times slower is still left.
#[test]
fn prompts_follow_estimates_only_where_engines_differ_lastingly_or_much() {
    let engines = engines(20);
    let varied = selector_with(&engines, |index| {
        let prefill_ns = if index % 2 == 0 { 22_000 } else { 36_000 };
        (prefill_ns, 40_000, SpeedClass::USUAL)
    });
    let slowed = selector_with(&engines, |index| {
        let prefill_ns = if index < 2 { 90_000 } else { 30_000 };
        (prefill_ns, 40_000, SpeedClass::USUAL)
    });

    for prefix in prefixes() {
        let prompt = prompt(&prefix, 60_000, 5_000);
        let home = by_affinity(&varied, &engines, &prefix);
        let is_slowed = engines[..2].iter().any(|one| one.incarnation == home);
        assert_eq!(chosen(&varied, &engines, &prompt), home);
        assert_eq!(chosen(&slowed, &engines, &prompt) != home, is_slowed);
    }
}
