//! Log lines of one request, and the explanation of its outcome.

use std::collections::BTreeMap;

use serde::Serialize;

use super::LogLine;

/// Share of the target latency from which a single stage is reported as the cause of a late answer.
const MAIN_CAUSE_PERCENT: u64 = 30;

/// Maximum number of gateways listed as restarted without a stop.
const MAX_LISTED_GATEWAYS: usize = 8;

/// Collects the log lines of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestTrace {
    call: String,
    lines: Vec<LogLine>,
    passed_over: usize,
    /// Starts and stops of gateways, in the order of the files.
    #[serde(rename = "lives")]
    gateway_events: Vec<LogLine>,
    /// Lines about requests that crash servers.
    quarantine: Vec<LogLine>,
}

/// Explanation of a request's outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The caller's id of the request.
    pub call: String,
    /// What happened, one sentence per log line.
    pub sentences: Vec<String>,
    /// Cause of the outcome.
    pub cause: String,
    /// Number of skipped lines that are not log lines of this system.
    pub passed_over: usize,
}

impl RequestTrace {
    /// Creates an empty trace of a request.
    #[must_use]
    pub fn new(call: impl Into<String>) -> Self {
        Self {
            call: call.into(),
            lines: Vec::new(),
            passed_over: 0,
            gateway_events: Vec::new(),
            quarantine: Vec::new(),
        }
    }

    /// Adds a line of a log file; lines of other requests are ignored.
    pub fn add_line(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        match LogLine::parse(text) {
            Some(line) if line.field("call") == self.call => self.lines.push(line),
            Some(line) if line.part == "gateway" => self.gateway_events.push(line),
            Some(line) if line.part == "quarantine" => self.quarantine.push(line),
            Some(_) => {}
            None => self.passed_over += 1,
        }
    }

    /// Explains the outcome from the collected lines, ordered by time.
    #[must_use]
    pub fn explain(mut self) -> Explanation {
        self.lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let sentences = self.lines.iter();
        let sentences = sentences.map(|line| format!("{}  {}", line.before, sentence(line)));
        Explanation {
            sentences: sentences.collect(),
            cause: self.cause(),
            passed_over: self.passed_over,
            call: self.call,
        }
    }

    fn last(&self, part: &str, event: &str) -> Option<&LogLine> {
        let mut lines = self.lines.iter().rev();
        lines.find(|line| line.part == part && line.event == event)
    }

    fn cause(&self) -> String {
        if let Some(refused) = self.last("request", "refused") {
            return self.cause_of_refusal(refused);
        }
        if let Some(stream) = self.last("stream", "ended") {
            return self.cause_of_stream(stream);
        }
        if let Some(answered) = self.last("request", "answered") {
            return cause_of_answer(answered);
        }
        match self.last("request", "caller left") {
            Some(left) => self.cause_of_disconnect(left),
            None => self.cause_without_lines(),
        }
    }

    /// Cause for a caller that disconnected before the answer began: what its request waited for.
    fn cause_of_disconnect(&self, left: &LogLine) -> String {
        let waited_for = if self.last("batches", "pieces made").is_some() {
            "an engine, after its pieces were made".to_owned()
        } else if let Some(lost) = self.last("batches", "owner lost") {
            let owner = lost.field("owner");
            format!("its pieces; their owner {owner} had not answered")
        } else {
            "its pieces or a server".to_owned()
        };
        let ms = left.field("ms");
        format!(
            "The caller left after {ms} ms without an answer: the request waited for {waited_for}."
        )
    }

    /// Cause for a request without log lines: either served in time, or its gateway was killed.
    fn cause_without_lines(&self) -> String {
        let unstopped = gateways_without_stop(&self.gateway_events);
        if unstopped.is_empty() {
            return "No line tells how it ended: it was served in time, or its lines were dropped."
                .to_owned();
        }
        let (count, shown) = (unstopped.len(), unstopped.iter().take(MAX_LISTED_GATEWAYS));
        let shown: Vec<_> = shown.map(String::as_str).collect();
        format!(
            "No line tells how it ended: it was served in time, or was open at a gateway that was \
            killed or lost power. {count} gateways started again without having stopped: {}.",
            shown.join(", ")
        )
    }

    fn cause_of_refusal(&self, refused: &LogLine) -> String {
        let code = format!("{} {}", refused.field("code"), refused.field("reason"));
        if let Some(quarantined) = self.last("request", "held back") {
            return self.cause_of_quarantine(&code, quarantined.field("suspect"));
        }
        if let Some(pieces) = self.last("request", "pieces not made") {
            let reason = pieces.field("reason");
            let waiting = self.last("batches", "job refused");
            let waiting = waiting.map_or(String::new(), |line| {
                format!(
                    ", with {} stages waiting at the owner",
                    line.field("waiting")
                )
            });
            return format!("Refused with {code}: {reason}{waiting}. It did not run.");
        }
        if let Some(send) = self.last("request", "send without answer") {
            let (server, end) = (send.field("server"), send.field("end"));
            if is_withheld(end) {
                return format!(
                    "Refused with {code}: it was withheld from server {server} ({end})."
                );
            }
            let load_at_choice = load_at_choice(send);
            return format!(
                "Ended with {code}: server {server} gave no answer ({end}){load_at_choice}."
            );
        }
        match refused.field("reason") {
            "KnowledgeStale" => {
                format!("Refused with {code}: nothing came from the store for too long.")
            }
            "WrongKey" => format!(
                "Refused with {code}: version {} holds no such key.",
                refused.field("version")
            ),
            "UnknownPath" => format!(
                "Refused with {code}: version {} has no such route.",
                refused.field("version")
            ),
            "ZonesEvacuated" => {
                format!(
                    "Refused with {code}: operators have evacuated the zones of all its servers."
                )
            }
            "ServersCold" => format!(
                "Refused with {code}: the servers had just started, and this gateway's share of \
                what they take was used up."
            ),
            "ServersLimited" => format!(
                "Refused with {code}: its servers had named limits, and this gateway's share of \
                what they take was used up."
            ),
            "RoutingBehind" => format!(
                "Refused with {code}: a newer configuration than version {} was still on its way to \
                the gateway.",
                refused.field("version")
            ),
            _ => format!("Refused with {code}."),
        }
    }

    /// Cause for a quarantined request: the servers that crashed under the same content or part.
    fn cause_of_quarantine(&self, code: &str, suspect: &str) -> String {
        let mut lines = self.quarantine.iter().rev();
        let quarantined = lines
            .find(|line| line.event == "suspect held back" && line.field("suspect") == suspect);
        let servers =
            quarantined.map_or_else(String::new, |line| format!(": {}", line.field("servers")));
        let content = suspect.strip_prefix("part:").map_or_else(
            || "the same content".to_owned(),
            |part| format!("prompts with part {part}"),
        );
        format!("Ended with {code}: servers crashed while they ran {content}{servers}.")
    }

    fn cause_of_stream(&self, stream: &LogLine) -> String {
        let (server, end) = (stream.field("server"), stream.field("end"));
        match end {
            "broken" => {
                return format!(
                    "Broken off by engine {server} after {} events.",
                    stream.field("events")
                );
            }
            "time-over" => {
                return format!("Cut at its time after {} events.", stream.field("events"));
            }
            "caller-left" => return "The caller left before the end.".to_owned(),
            _ => {}
        }
        let (begun_ms, aim_ms) = (stream.number("begun_ms"), stream.number("aim_ms"));
        match begun_ms.zip(aim_ms) {
            Some((begun_ms, aim_ms)) if begun_ms > aim_ms => {
                self.cause_of_lateness(stream, begun_ms, aim_ms)
            }
            _ => "Served whole and in time.".to_owned(),
        }
    }

    fn cause_of_lateness(&self, stream: &LogLine, begun_ms: u64, aim_ms: u64) -> String {
        let late = format!("Late: begun after {begun_ms} ms with an aim of {aim_ms} ms");
        let stages = self.last("batches", "pieces made");
        let stages = stages.map_or("-", |line| line.field("stages_waited_worked_ms"));
        let times = stages.split(',').enumerate().filter_map(|(index, times)| {
            let (waited, worked) = times.split_once('+')?;
            Some((
                index,
                waited.parse::<u64>().ok()?,
                worked.parse::<u64>().ok()?,
            ))
        });
        let times: Vec<_> = times.collect();
        let longest = times
            .iter()
            .max_by_key(|(_, waited, worked)| waited.max(worked));
        match longest {
            Some((index, waited, worked))
                if waited.max(worked) * 100 >= aim_ms * MAIN_CAUSE_PERCENT =>
            {
                format!(
                    "{late}; stage {index} waited {waited} ms for a server and worked {worked} ms."
                )
            }
            _ => {
                let pieces_ms = stream.number("pieces_ms").unwrap_or(0);
                let engine_ms = begun_ms.saturating_sub(pieces_ms);
                format!("{late}; pieces took {pieces_ms} ms and the engine {engine_ms} ms.")
            }
        }
    }
}

/// Hosts whose gateway started again without having stopped, and the time of that start.
fn gateways_without_stop(gateway_events: &[LogLine]) -> Vec<String> {
    let mut gateway_events: Vec<_> = gateway_events.iter().collect();
    gateway_events.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut open: BTreeMap<&str, bool> = BTreeMap::new();
    let mut unstopped = Vec::new();
    for line in gateway_events {
        // The id of a gateway's incarnation is its host and a number.
        let host = line.field("instance").rsplit_once('-');
        let host = host.map_or("-", |(host, _)| host);
        match line.event.as_str() {
            "started" if open.insert(host, true) == Some(true) => {
                unstopped.push(format!("{host} by {}", line.at));
            }
            "stopped" => {
                open.insert(host, false);
            }
            _ => {}
        }
    }
    unstopped
}

fn cause_of_answer(answered: &LogLine) -> String {
    let (status, sends) = (answered.field("status"), answered.field("sends"));
    let (ms, aim_ms) = (answered.field("ms"), answered.field("aim_ms"));
    let (server, load_at_choice) = (answered.field("server"), load_at_choice(answered));
    format!(
        "Answered with {status} by {server} after {ms} ms (aim {aim_ms} ms) and {sends} sends{load_at_choice}."
    )
}

/// Whether the end of a send means that nothing was sent, because the server was not available.
fn is_withheld(end: &str) -> bool {
    matches!(
        end,
        "evacuated" | "leaving" | "cold" | "limited" | "gone" | "held"
    )
}

/// Text for the load that the choice of the server was based on; empty for lines without it.
fn load_at_choice(line: &LogLine) -> String {
    let Some(in_flight) = line.number("in_flight") else {
        return String::new();
    };
    let reported = match (line.number("told"), line.number("told_age_ms")) {
        (Some(reported), Some(age_ms)) => format!("it had told {reported} {age_ms} ms before"),
        _ => "it had told nothing".to_owned(),
    };
    format!("; chosen with {in_flight} of this gateway's requests there, {reported}")
}

fn sentence(line: &LogLine) -> String {
    let field = |name: &str| line.field(name);
    match (line.part.as_str(), line.event.as_str()) {
        ("request", "refused") => format!(
            "answered by the gateway itself: {} {}, ran: {}, after {} ms",
            field("code"),
            field("reason"),
            field("ran"),
            field("ms")
        ),
        ("request", "send without answer") if is_withheld(field("end")) => format!(
            "withheld from server {} as its bytes were about to leave: {}",
            field("server"),
            field("end")
        ),
        ("request", "send without answer") => format!(
            "sent to server {} without an answer: {} after {} ms{}",
            field("server"),
            field("end"),
            field("ms"),
            load_at_choice(line)
        ),
        ("request", "answered") => format!(
            "answered by server {} with {} after {} ms{}",
            field("server"),
            field("status"),
            field("ms"),
            load_at_choice(line)
        ),
        ("batches", "pieces made") => format!(
            "pieces made; ms waited and worked of each stage: {}",
            field("stages_waited_worked_ms")
        ),
        ("batches", "owner lost") => format!(
            "the owner of the batches, {}, did not answer: {}",
            field("owner"),
            field("reason")
        ),
        ("stream", "ended") => format!(
            "stream of engine {} ended {}: {} events, pieces after {} ms, begun after {} ms, {} ms in all{}",
            field("server"),
            field("end"),
            field("events"),
            field("pieces_ms"),
            field("begun_ms"),
            field("ms"),
            load_at_choice(line)
        ),
        ("batches", "job given up") => format!(
            "given up by the owner of the batches as {} after {} ms, with {} stages waiting",
            field("reason"),
            field("ms"),
            field("waiting")
        ),
        (part, event) => {
            let fields = line.fields.iter().filter(|(name, _)| *name != "call");
            let fields = fields.map(|(name, value)| format!("{name}={value}"));
            format!("{part}: {event} {}", fields.collect::<Vec<_>>().join(" "))
        }
    }
}
