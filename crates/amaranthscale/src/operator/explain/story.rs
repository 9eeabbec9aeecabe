//! The lines of one request in order, and what decided it.

use std::collections::BTreeMap;

use serde::Serialize;

use super::LogLine;

/// Part of an aim from which one stage is named as the cause of a late answer.
const MAIN_CAUSE_PERCENT: u64 = 30;

/// Gateways that are named where many ended without a word.
const MOST_LIVES: usize = 8;

/// Collects the lines of one request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Story {
    call: String,
    lines: Vec<LogLine>,
    passed_over: usize,
    /// Starts and stops of gateways, as they stand in the files.
    lives: Vec<LogLine>,
    /// What gateways said of requests that crash servers.
    quarantine: Vec<LogLine>,
}

/// A story told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Telling {
    /// The caller's name of the send.
    pub call: String,
    /// What happened, one sentence a line.
    pub sentences: Vec<String>,
    /// What decided it.
    pub cause: String,
    /// Lines that were no log lines of ours.
    pub passed_over: usize,
}

impl Story {
    /// A story without lines.
    #[must_use]
    pub fn new(call: impl Into<String>) -> Self {
        Self {
            call: call.into(),
            lines: Vec::new(),
            passed_over: 0,
            lives: Vec::new(),
            quarantine: Vec::new(),
        }
    }

    /// Takes a line of a file; other requests' lines are left out.
    pub fn take(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        match LogLine::parse(text) {
            Some(line) if line.field("call") == self.call => self.lines.push(line),
            Some(line) if line.part == "gateway" => self.lives.push(line),
            Some(line) if line.part == "quarantine" => self.quarantine.push(line),
            Some(_) => {}
            None => self.passed_over += 1,
        }
    }

    /// Tells the story in the order of time.
    #[must_use]
    pub fn tell(mut self) -> Telling {
        self.lines.sort_by(|a, b| a.at.total_cmp(&b.at));
        let sentences = self.lines.iter();
        let sentences = sentences.map(|line| format!("{}  {}", line.before, sentence(line)));
        Telling {
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
            Some(left) => self.cause_of_leaving(left),
            None => self.cause_without_lines(),
        }
    }

    /// A caller that left before an answer had begun, and what its request waited for until then.
    fn cause_of_leaving(&self, left: &LogLine) -> String {
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

    /// A request that no line names was a good plain one, or its gateway ended without a word.
    fn cause_without_lines(&self) -> String {
        let unstopped = lives_without_a_stop(&self.lives);
        if unstopped.is_empty() {
            return "No line tells how it ended: it was served in time, or its lines were dropped."
                .to_owned();
        }
        let (count, shown) = (unstopped.len(), unstopped.iter().take(MOST_LIVES));
        let shown: Vec<_> = shown.map(String::as_str).collect();
        format!(
            "No line tells how it ended: it was served in time, or was open at a gateway that was \
            killed or lost power. {count} gateways started again without having stopped: {}.",
            shown.join(", ")
        )
    }

    fn cause_of_refusal(&self, refused: &LogLine) -> String {
        let code = format!("{} {}", refused.field("code"), refused.field("reason"));
        if let Some(held) = self.last("request", "held back") {
            return self.cause_of_quarantine(&code, held.field("fingerprint"));
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
            let seen = seen(send);
            return format!("Ended with {code}: server {server} gave no answer ({end}){seen}.");
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

    /// Which servers crashed under the same content, by the word of any gateway.
    fn cause_of_quarantine(&self, code: &str, fingerprint: &str) -> String {
        let mut words = self.quarantine.iter().rev();
        let held = words.find(|line| {
            line.event == "request held back" && line.field("fingerprint") == fingerprint
        });
        let servers = held.map_or_else(String::new, |line| format!(": {}", line.field("servers")));
        format!("Ended with {code}: servers crashed while they ran the same content{servers}.")
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

/// Machines whose gateway started again though its life before had not stopped, and when.
fn lives_without_a_stop(lives: &[LogLine]) -> Vec<String> {
    let mut lives: Vec<_> = lives.iter().collect();
    lives.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut open: BTreeMap<&str, bool> = BTreeMap::new();
    let mut unstopped = Vec::new();
    for line in lives {
        // A life's name is its machine's and a number of its own.
        let machine = line.field("instance").rsplit_once('-');
        let machine = machine.map_or("-", |(machine, _)| machine);
        match line.event.as_str() {
            "started" if open.insert(machine, true) == Some(true) => {
                unstopped.push(format!("{machine} by {}", line.at));
            }
            "stopped" => {
                open.insert(machine, false);
            }
            _ => {}
        }
    }
    unstopped
}

fn cause_of_answer(answered: &LogLine) -> String {
    let (status, sends) = (answered.field("status"), answered.field("sends"));
    let (ms, aim_ms) = (answered.field("ms"), answered.field("aim_ms"));
    let (server, seen) = (answered.field("server"), seen(answered));
    format!(
        "Answered with {status} by {server} after {ms} ms (aim {aim_ms} ms) and {sends} sends{seen}."
    )
}

/// Whether an end of a send says that nothing was sent, as the server might not be used.
fn is_withheld(end: &str) -> bool {
    matches!(
        end,
        "evacuated" | "leaving" | "cold" | "limited" | "gone" | "held"
    )
}

/// The load that a line's server was chosen by; nothing for lines without it.
fn seen(line: &LogLine) -> String {
    let Some(in_flight) = line.number("in_flight") else {
        return String::new();
    };
    let told = match (line.number("told"), line.number("told_age_ms")) {
        (Some(told), Some(age_ms)) => format!("it had told {told} {age_ms} ms before"),
        _ => "it had told nothing".to_owned(),
    };
    format!("; chosen with {in_flight} of this gateway's requests there, {told}")
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
            seen(line)
        ),
        ("request", "answered") => format!(
            "answered by server {} with {} after {} ms{}",
            field("server"),
            field("status"),
            field("ms"),
            seen(line)
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
            seen(line)
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
