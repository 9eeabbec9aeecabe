//! A model engine, as a program.

use std::process::ExitCode;

use amaranthscale_standins::backend::CrashMode;
use amaranthscale_standins::command::{option, run, standin_command, value};
use amaranthscale_standins::engine::{Engine, EngineSettings};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

fn main() -> ExitCode {
    let settings = settings(&command().get_matches());
    run(Engine::start(settings))
}

fn command() -> Command {
    let fence = Arg::new("ignores-fence").long("ignores-fence");
    let fence = fence.action(ArgAction::SetTrue);
    standin_command("standin-engine", "Stands in for a model engine")
        .arg(option("slots", "N", value_parser!(u32)).help("Sequences that run together"))
        .arg(ms("token-ms").help("Time of a lone sequence's token"))
        .arg(share("batch-penalty").help("Share by which each further sequence slows all"))
        .arg(ms("base-ms").help("Time of an operation that generates nothing"))
        .arg(ms("prefill-ms-per-kib").help("Time to read a KiB of prompt"))
        .arg(share("cached-prefill-share").help("Share of it that remains for a cached prefix"))
        .arg(
            option("prefix-cache-bytes", "BYTES", value_parser!(usize))
                .help("Memory of cached prefixes"),
        )
        .arg(ms("load-lag-ms").help("Lag of the load report"))
        .arg(ms("cache-event-lag-ms").help("Lag of the cache events"))
        .arg(count("cache-event-gap-every").help("One cache event of so many is never published"))
        .arg(fence.help("Applies orders whatever their fencing number"))
}

fn settings(matches: &ArgMatches) -> EngineSettings {
    let default = EngineSettings::default();
    let or = |name, default| value(matches, name).unwrap_or(default);
    let share_or = |name, default| value(matches, name).unwrap_or(default);
    EngineSettings {
        listen: value(matches, "listen").unwrap_or(default.listen),
        slots: value(matches, "slots").unwrap_or(default.slots),
        token_ms: or("token-ms", default.token_ms),
        batch_penalty: share_or("batch-penalty", default.batch_penalty),
        base_ms: or("base-ms", default.base_ms),
        prefill_ms_per_kib: or("prefill-ms-per-kib", default.prefill_ms_per_kib),
        cached_prefill_share: share_or("cached-prefill-share", default.cached_prefill_share),
        prefix_cache_bytes: value(matches, "prefix-cache-bytes")
            .unwrap_or(default.prefix_cache_bytes),
        load_lag_ms: or("load-lag-ms", default.load_lag_ms),
        cache_event_lag_ms: or("cache-event-lag-ms", default.cache_event_lag_ms),
        cache_event_gap_every: or("cache-event-gap-every", default.cache_event_gap_every),
        honours_fence: !matches.get_flag("ignores-fence"),
        crash_mode: CrashMode::ExitProcess,
    }
}

fn ms(name: &'static str) -> Arg {
    option(name, "MS", value_parser!(u64))
}

fn count(name: &'static str) -> Arg {
    option(name, "N", value_parser!(u64))
}

fn share(name: &'static str) -> Arg {
    option(name, "SHARE", value_parser!(f64))
}
