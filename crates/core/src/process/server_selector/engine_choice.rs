//! Selects an engine for a prompt.
//!
//! Without measured speeds, or where all engines are about as fast, a prompt goes to the home engine
//! of its shared prefix unless that is nearly full. Otherwise faster engines are the home of more
//! prefixes, and a prompt leaves its home for an engine whose first event is expected earlier by
//! more than the shared parts cost there.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use super::super::count::as_f64;
use super::super::engine_speed::{
    EngineCost, EnginePrompt, EngineRunId, PROMPT_OVERHEAD_TOKENS, PromptHomes, SpeedClass, median,
};
use super::super::rendezvous;
use super::super::server_availability::UsableServers;
use super::super::server_list::ServerRecord;
use super::ServerSelector;
use crate::id::{CallId, ServerIncarnation};

/// Seed of the hash by which calls are split between two engines.
const SPLIT_SEED: u64 = 2;
/// Own requests in flight below which affinity always applies.
const AFFINITY_MIN_IN_FLIGHT: usize = 4;
/// Multiple of the mean in flight up to which affinity applies.
const AFFINITY_FACTOR: f64 = 1.6;
/// Relative difference to the median up to which engines count as equally fast.
const EVEN_DIFFERENCE: f64 = 0.15;
/// Part of the engines, as a divisor, that has to differ lastingly for prompts to be distributed by
/// speed.
const UNEVEN_DIVISOR: usize = 10;
/// Multiple of the median time to prefill from which prompts leave an engine although the others are
/// equally fast.
const SLOW_FACTOR: f64 = 2.0;
/// Lateness of a request that costs as much as a token that is prefilled again.
const TOKEN_COST_S: f64 = 60e-6;
/// Fraction of fetches that are assumed to find nothing, as the home engine has evicted the part or
/// is still prefilling it.
const MISSED_FETCH_FRACTION: f64 = 0.25;
/// Gain from which a prompt leaves its home.
const MIN_GAIN_S: f64 = 0.1;
/// Gain from which a prompt without shared parts leaves the engine that it would go to if all were
/// equally fast. Small prompts stay even at an engine that is four times slower; without them
/// nothing would show that it has recovered.
const MIN_UNSHARED_GAIN_S: f64 = 0.25;
/// Difference of expected times that is within their error: prompts of a prefix then go to the same
/// engine.
const SIMILAR_S: f64 = 0.05;
/// Fraction of the longest pause between events that an event may take at an engine.
const MAX_GAP_FRACTION: f64 = 0.8;
/// Cost of an engine whose events are further apart than allowed; more than any first event.
const SLOW_EVENTS_COST_S: f64 = 30.0;

impl ServerSelector {
    /// The engine for a prompt, by the id of the last prefix that it shares with other requests.
    #[must_use]
    pub fn select_engine<'a>(
        &self,
        servers: UsableServers<'a>,
        tried: &BTreeSet<ServerIncarnation>,
        shared_prefix: &str,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        self.select_by_affinity(self.engines(servers, tried, now), shared_prefix, now)
    }

    /// The engine for a prompt by the measured speed of the engines; as [`Self::select_engine`] if
    /// they are equally fast or nothing was measured.
    #[must_use]
    pub fn select_engine_by_speed<'a>(
        &self,
        servers: UsableServers<'a>,
        tried: &BTreeSet<ServerIncarnation>,
        prompt: &EnginePrompt<'_>,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        let engines = self.engines(servers, tried, now);
        let measured = self.engine_speeds.costs(&engines, now);
        let Some(costs) = measured.filter(|costs| !are_even(costs)) else {
            return self.select_home(engines, prompt, now);
        };
        let is_uneven = self.is_uneven(&engines);
        if !is_uneven {
            let home = self.select_home(engines.clone(), prompt, now)?;
            let index = position(&engines, home)?;
            let has_slow_events = self.has_slow_events(home, costs[index], prompt, now);
            if !is_slow(&costs, index) && !has_slow_events {
                return Some(home);
            }
        }
        let has_free: Vec<_> = engines
            .iter()
            .map(|engine| !self.is_nearly_full(engine, now))
            .collect();
        let is_any_free = has_free.contains(&true);
        let seed = rendezvous::score(1, prompt.shared_prefix);
        let rank_of = |engine: &ServerRecord| {
            // Prompts that share nothing with others would only crowd the faster engines.
            let is_weighted = is_uneven && prompt.shared_tokens > 0;
            let class = self.engine_speeds.class(&engine.incarnation);
            rank(seed, engine, if is_weighted { class.weight() } else { 1.0 })
        };
        let ranks: Vec<_> = engines.iter().map(|engine| rank_of(engine)).collect();
        let home = if prompt.shared_tokens > 0 {
            prompt.homes.home.as_ref()
        } else {
            let ranked = ranks.iter().zip(&engines);
            let first = ranked.max_by(|(a, _), (b, _)| a.total_cmp(b));
            first.map(|(_, engine)| &engine.incarnation)
        };
        let mut ranked: Vec<_> = (0..engines.len())
            .filter(|index| has_free[*index] || !is_any_free)
            .map(|index| {
                let engine = engines[index];
                let is_held =
                    home == Some(&engine.incarnation) || prompt.homes.holds(&engine.incarnation);
                let expected_s = self.expected_cost_s(engine, costs[index], prompt, is_held, now);
                (ranks[index], expected_s, engine)
            })
            .collect();
        ranked.sort_by(|(a, ..), (b, ..)| b.total_cmp(a));
        let acceptable_s = prompt.acceptable_s();
        let is_in_time = |engine: &ServerIncarnation| {
            let mut all = ranked.iter();
            all.find(|(_, expected_s, one)| {
                one.incarnation == *engine && *expected_s <= acceptable_s
            })
        };
        if let Some((_, home_s, home)) = home.and_then(is_in_time) {
            let second = prompt.homes.second.as_ref();
            let second = second
                .filter(|_| prompt.homes.is_split)
                .and_then(is_in_time);
            let earlier = second.filter(|(_, second_s, _)| second_s + MIN_GAIN_S < *home_s);
            return Some(earlier.map_or(home, |(.., second)| second));
        }
        if prompt.shared_tokens > 0 {
            let second = prompt.homes.second.iter();
            let second = second.filter(|_| prompt.homes.is_split);
            let mut holders = prompt.homes.recent.iter().chain(second);
            let holder = holders.find_map(is_in_time);
            // In the order of the hash, so that the prompts of all gateways which leave their home
            // meet at the same engine.
            let first = || {
                ranked
                    .iter()
                    .find(|(_, expected_s, _)| *expected_s <= acceptable_s)
            };
            if let Some((.., engine)) = holder.or_else(first) {
                return Some(engine);
            }
        }
        let all = ranked.iter().map(|(_, expected_s, _)| *expected_s);
        let least_s = all.min_by(f64::total_cmp)?;
        let is_similar = |expected_s: f64| expected_s <= least_s + SIMILAR_S;
        let chosen = ranked
            .iter()
            .find(|(_, expected_s, _)| is_similar(*expected_s));
        chosen.map(|(.., engine)| *engine)
    }

    /// Engines that hold the shared parts of a prompt: those seen to prefill them, the latest first,
    /// and by the hash of the last part the one that prompts go to as long as it has capacity.
    #[must_use]
    pub fn prompt_homes(
        &self,
        servers: &UsableServers<'_>,
        shared_prefix: &str,
        recent: Vec<ServerIncarnation>,
        now: Duration,
    ) -> PromptHomes {
        let seed = rendezvous::score(1, shared_prefix);
        let speeds = &self.engine_speeds;
        let is_uneven = self.is_uneven(&servers.free);
        let weight = |class: SpeedClass| if is_uneven { class.weight() } else { 1.0 };
        let ranked = servers.free.iter().map(|server| {
            let engine = &server.incarnation;
            let unweighted = rank(seed, server, 1.0);
            let current = unweighted * weight(speeds.class(engine));
            let previous = unweighted * weight(speeds.previous_class(engine, now));
            (current, previous, engine)
        });
        let ranked: Vec<_> = ranked.collect();
        let by_current = |(a, ..): &&(f64, f64, _), (b, ..): &&(f64, f64, _)| a.total_cmp(b);
        let home = ranked.iter().max_by(by_current).map(|(.., home)| *home);
        let others = ranked.iter().filter(|(.., engine)| Some(*engine) != home);
        let second = others.max_by(by_current).map(|(.., second)| *second);
        let previous = ranked.iter().max_by(|(_, a, _), (_, b, _)| a.total_cmp(b));
        let previous = previous.map(|(.., engine)| *engine);
        PromptHomes {
            home: home.cloned(),
            previous: previous.filter(|previous| Some(*previous) != home).cloned(),
            second: second.cloned(),
            is_uneven,
            is_split: false,
            recent,
        }
    }

    /// Splits the prompts of a home that is about to be short of slots between it and the second
    /// engine, by a hash of the call's id.
    ///
    /// All entries decide by the load that engines report. The first prompt at the second engine
    /// fetches the parts from the home.
    #[must_use]
    pub fn split_homes(
        &mut self,
        homes: PromptHomes,
        servers: &UsableServers<'_>,
        call: &CallId,
        now: Duration,
    ) -> PromptHomes {
        let record = |engine: &Option<ServerIncarnation>| {
            let mut free = servers.free.iter();
            free.find(|server| Some(&server.incarnation) == engine.as_ref())
        };
        let (Some(home), Some(second)) = (record(&homes.home), record(&homes.second)) else {
            return homes;
        };
        let home_fullness = self.reported_fullness(home, now);
        let second_fullness = self.engine_fullness(second, now);
        let (home, second) = (&home.incarnation, &second.incarnation);
        let splits = &mut self.home_splits;
        let is_split = splits.update(home, second, home_fullness, second_fullness);
        if !is_split {
            return homes;
        }
        let is_exchanged = rendezvous::score(SPLIT_SEED, call) >> 63 == 1;
        let (home, second) = if is_exchanged {
            (homes.second, homes.home)
        } else {
            (homes.home, homes.second)
        };
        PromptHomes {
            home,
            second,
            is_split,
            ..homes
        }
    }

    /// Requests that an engine has lately reported, as a fraction of its slots.
    fn reported_fullness(&self, engine: &ServerRecord, now: Duration) -> Option<f64> {
        let (load, _) = self.reported_engine_load(&engine.incarnation, now)?;
        let slots = as_f64(engine.slots.max(1));
        Some(f64::from(load.running.saturating_add(load.waiting)) / slots)
    }

    /// Records that a prompt is sent to an engine; one that holds its shared parts has them
    /// already.
    pub fn begin_engine_run(
        &mut self,
        engine: &ServerRecord,
        prompt: &EnginePrompt<'_>,
        now: Duration,
    ) -> EngineRunId {
        let is_held = prompt.homes.holds(&engine.incarnation);
        let cached = if is_held { prompt.shared_tokens } else { 0 };
        let tokens = prompt.tokens.saturating_sub(cached);
        let others = self.others_backlog_tokens(&engine.incarnation, now);
        let others = Duration::try_from_secs_f64(others).map_or(0, |others| others.as_secs());
        self.engine_speeds.begin_run(engine, tokens, others, now)
    }

    /// Expected time to a prompt's first event at an engine, if engines of the service differ in
    /// speed.
    #[must_use]
    pub fn expected_first_event(
        &self,
        engine: &ServerRecord,
        servers: &UsableServers<'_>,
        prompt: &EnginePrompt<'_>,
        now: Duration,
    ) -> Option<Duration> {
        let costs = self.engine_speeds.costs(&servers.free, now)?;
        let index = position(&servers.free, engine)?;
        let is_usual = !self.is_uneven(&servers.free) && !is_slow(&costs, index);
        if are_even(&costs) || is_usual {
            return None;
        }
        self.first_event_by_cost(engine, costs[index], prompt, now)
    }

    /// Expected time to a prompt's first event at an engine, also if the engines are equally fast;
    /// none before any is measured. It is for the log: with equal engines, no decision depends on it.
    #[must_use]
    pub fn estimated_first_event(
        &self,
        engine: &ServerRecord,
        servers: &UsableServers<'_>,
        prompt: &EnginePrompt<'_>,
        now: Duration,
    ) -> Option<Duration> {
        let costs = self.engine_speeds.costs(&servers.free, now)?;
        let index = position(&servers.free, engine)?;
        self.first_event_by_cost(engine, costs[index], prompt, now)
    }

    fn first_event_by_cost(
        &self,
        engine: &ServerRecord,
        cost: EngineCost,
        prompt: &EnginePrompt<'_>,
        now: Duration,
    ) -> Option<Duration> {
        let is_held = prompt.homes.holds(&engine.incarnation);
        let seconds = self.first_event_s(engine, cost, prompt, is_held, now);
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Tokens of other gateways' prompts that an engine has not prefilled yet, by the load that it
    /// reported.
    #[must_use]
    pub fn others_backlog_tokens(&self, server: &ServerIncarnation, now: Duration) -> f64 {
        let Some((load, freshness)) = self.reported_engine_load(server, now) else {
            return 0.0;
        };
        let own = self.engine_speeds.run_count(server);
        let others = (f64::from(load.running) - as_f64(own)).max(0.0);
        let unread = f64::from(load.waiting) + others * self.engine_speeds.prefill_share();
        unread * self.engine_speeds.usual_tokens() * freshness
    }

    /// Expected time to a prompt's first event at an engine, and the cost of work that is done there
    /// again.
    fn expected_cost_s(
        &self,
        engine: &ServerRecord,
        cost: EngineCost,
        prompt: &EnginePrompt<'_>,
        is_held: bool,
        now: Duration,
    ) -> f64 {
        let first_event_s = self.first_event_s(engine, cost, prompt, is_held, now);
        let has_slow_events = self.has_slow_events(engine, cost, prompt, now);
        let lateness_s = if has_slow_events {
            SLOW_EVENTS_COST_S
        } else {
            0.0
        };
        if is_held {
            return first_event_s + lateness_s;
        }
        let fetch = prompt.fetch_time();
        let is_fetched = fetch.is_some_and(|time| {
            time.as_secs_f64() < as_f64(prompt.shared_tokens) * cost.prefill_s_per_token
        });
        let token_cost_s = if is_fetched {
            TOKEN_COST_S * MISSED_FETCH_FRACTION
        } else {
            TOKEN_COST_S
        };
        let again_s = as_f64(prompt.shared_tokens) * token_cost_s;
        let min_gain_s = if prompt.shared_tokens > 0 {
            MIN_GAIN_S
        } else {
            MIN_UNSHARED_GAIN_S
        };
        first_event_s + again_s + min_gain_s + lateness_s
    }

    /// Requests that an engine has lately reported as running.
    fn running_requests(&self, engine: &ServerIncarnation, now: Duration) -> Option<f64> {
        let (load, _) = self.reported_engine_load(engine, now)?;
        Some(f64::from(load.running))
    }

    /// Expected time to a prompt's first event at an engine.
    fn first_event_s(
        &self,
        engine: &ServerRecord,
        cost: EngineCost,
        prompt: &EnginePrompt<'_>,
        is_held: bool,
        now: Duration,
    ) -> f64 {
        let server = &engine.incarnation;
        let backlog = self.engine_speeds.backlog_tokens(server, cost, now)
            + self.others_backlog_tokens(server, now);
        let own = prompt.tokens.saturating_sub(prompt.shared_tokens) + PROMPT_OVERHEAD_TOKENS;
        let own_s = (backlog + as_f64(own)) * cost.prefill_s_per_token;
        if is_held {
            return own_s;
        }
        let prefilled_s = as_f64(prompt.shared_tokens) * cost.prefill_s_per_token;
        let fetched_s = prompt.fetch_time().map(|time| time.as_secs_f64());
        own_s + fetched_s.map_or(prefilled_s, |fetched_s| fetched_s.min(prefilled_s))
    }

    fn engines<'a>(
        &self,
        servers: UsableServers<'a>,
        tried: &BTreeSet<ServerIncarnation>,
        now: Duration,
    ) -> Vec<&'a ServerRecord> {
        let has_capacity = |server: &ServerRecord| !self.is_nearly_full(server, now);
        self.candidates(servers, tried, has_capacity, now)
    }

    /// Whether an engine's events would be too far apart with one more request running than now.
    fn has_slow_events(
        &self,
        engine: &ServerRecord,
        cost: EngineCost,
        prompt: &EnginePrompt<'_>,
        now: Duration,
    ) -> bool {
        let running = self.running_requests(&engine.incarnation, now);
        let event_s = running.map_or(cost.event_s, |running| cost.event_s_at(running + 1.0));
        event_s
            .zip(prompt.max_event_gap)
            .is_some_and(|(event_s, gap)| event_s > gap.as_secs_f64() * MAX_GAP_FRACTION)
    }

    /// The engine for a prompt where engines are equally fast.
    fn select_home<'a>(
        &self,
        engines: Vec<&'a ServerRecord>,
        prompt: &EnginePrompt<'_>,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        let is_second_half = |engine: &&&ServerRecord| {
            prompt.homes.is_split
                && prompt.homes.is_home(&engine.incarnation)
                && !self.is_nearly_full(engine, now)
        };
        if let Some(home) = engines.iter().find(is_second_half) {
            return Some(home);
        }
        self.select_by_affinity(engines, prompt.shared_prefix, now)
    }

    /// Whether enough engines have lastingly another speed than the median.
    ///
    /// Estimates of equally fast engines vary by more than a tenth. If prompts followed them, they
    /// would leave the engines that have their shared parts for nothing.
    fn is_uneven(&self, engines: &[&ServerRecord]) -> bool {
        let differs = |engine: &&&ServerRecord| {
            self.engine_speeds.class(&engine.incarnation) != SpeedClass::USUAL
        };
        let different = engines.iter().filter(differs).count();
        different * UNEVEN_DIVISOR >= engines.len().max(UNEVEN_DIVISOR)
    }

    fn select_by_affinity<'a>(
        &self,
        mut servers: Vec<&'a ServerRecord>,
        shared_prefix: &str,
        now: Duration,
    ) -> Option<&'a ServerRecord> {
        let seed = rendezvous::score(1, shared_prefix);
        servers
            .sort_by_cached_key(|server| Reverse(rendezvous::score(seed, server.incarnation.id())));
        let mut mean = None;
        // At another engine the prompt has to be read again, so affinity gives way only at a full
        // engine.
        let mut has_capacity = |server: &&&ServerRecord| {
            if !self.is_nearly_full(server, now) {
                return true;
            }
            let own = self.in_flight(&server.incarnation);
            let mean = *mean.get_or_insert_with(|| self.mean_in_flight(&servers));
            own < AFFINITY_MIN_IN_FLIGHT || as_f64(own) < mean * AFFINITY_FACTOR
        };
        let with_capacity = servers.iter().find(|server| has_capacity(server));
        with_capacity.or_else(|| servers.first()).copied()
    }

    fn mean_in_flight(&self, servers: &[&ServerRecord]) -> f64 {
        let in_flight = servers
            .iter()
            .map(|server| self.in_flight(&server.incarnation));
        as_f64(in_flight.sum::<usize>()) / as_f64(servers.len().max(1))
    }
}

/// Rank of an engine for a prefix by a weighted rendezvous hash; the highest one wins. Its share of
/// the prefixes is proportional to its weight, and a change of the weight moves only prefixes to or
/// from that engine.
fn rank(seed: u64, server: &ServerRecord, weight: f64) -> f64 {
    rendezvous::weighted(rendezvous::score(seed, server.incarnation.id()), weight)
}

fn position(engines: &[&ServerRecord], engine: &ServerRecord) -> Option<usize> {
    let mut engines = engines.iter();
    engines.position(|one| one.incarnation == engine.incarnation)
}

/// Whether an engine is much slower at present than the median.
fn is_slow(costs: &[EngineCost], index: usize) -> bool {
    let prefills = costs.iter().map(|cost| cost.prefill_s_per_token);
    let usual = median(prefills.collect());
    usual.is_some_and(|usual| costs[index].prefill_s_per_token > usual * SLOW_FACTOR)
}

/// Whether all engines are about as fast as the median.
fn are_even(costs: &[EngineCost]) -> bool {
    let prefills = costs.iter().map(|cost| cost.prefill_s_per_token);
    let Some(usual) = median(prefills.clone().collect()) else {
        return true;
    };
    let differs = |prefill: f64| (prefill / usual - 1.0).abs() > EVEN_DIFFERENCE;
    !prefills.into_iter().any(differs)
}
