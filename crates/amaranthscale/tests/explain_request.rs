//! Explanations of requests from the log lines of several hosts.

use amaranthscale::operator::explain::{Explanation, LogLine, RequestTrace};

fn explain_lines(call: &str, lines: &[&str]) -> Explanation {
    let mut trace = RequestTrace::new(call);
    for line in lines {
        trace.add_line(line);
    }
    trace.explain()
}

#[test]
fn line_with_a_prefix_is_parsed() {
    let line = "  29.9231 front-a-1 1700 INFO request: refused call=ab reason=\"no way\" ms=3";

    let line = LogLine::parse(line).unwrap();

    assert!((line.at - 29.9231).abs() < 1e-9);
    assert_eq!(line.before, "29.9231 front-a-1 1700");
    assert_eq!(line.event, "refused");
    assert_eq!(line.field("reason"), "no way");
    assert_eq!(line.number("ms"), Some(3));
}

#[test]
fn foreign_damaged_and_truncated_lines_are_skipped_and_counted() {
    let explanation = explain_lines(
        "ab",
        &[
            "GET / HTTP/1.1",
            "INFO request: refused call=ab reason=\"cut of",
            "INFO nothing of ours",
            "\u{fffd}\u{fffd}",
            "",
            "12 INFO request: refused call=other code=2002",
        ],
    );

    assert_eq!(explanation.passed_over, 4);
    assert!(explanation.sentences.is_empty());
    assert!(
        explanation.cause.contains("No line tells"),
        "{}",
        explanation.cause
    );
}

/// A caller is refused although servers are available, because the batch owner expects that the
/// pieces cannot be completed in time. The owner's line is in the log of another host.
#[test]
fn refusal_for_lack_of_time_names_the_batch_owners_reason() {
    let explanation = explain_lines(
        "ab",
        &[
            "30 g1 INFO request: refused call=ab code=2101 reason=DeadlineUnreachable ran=no ms=4",
            "29 g1 INFO request: pieces not made call=ab reason=\"the pieces cannot be made: late\" ms=4",
            "28 g2 INFO batches: job refused call=ab reason=late waiting=88",
        ],
    );

    assert!(
        explanation.sentences[0].starts_with("28 g2"),
        "{explanation:?}"
    );
    assert!(explanation.cause.contains("2101"), "{}", explanation.cause);
    assert!(
        explanation.cause.contains("88 stages waiting"),
        "{}",
        explanation.cause
    );
    assert!(
        explanation.cause.contains("did not run"),
        "{}",
        explanation.cause
    );
}

#[test]
fn late_stream_names_the_slow_stage() {
    let explanation = explain_lines(
        "ab",
        &[
            "31 g2 INFO batches: pieces made call=ab stages_waited_worked_ms=20+300,1500+410",
            "33 g1 INFO stream: ended call=ab server=i-1 end=whole events=9 pieces_ms=2230 \
             aim_ms=1900 begun_ms=2300 ms=3000",
        ],
    );

    let expected = "Late: begun after 2300 ms with an aim of 1900 ms; \
        stage 1 waited 1500 ms for a server and worked 410 ms.";
    assert_eq!(explanation.cause, expected);
}

#[test]
fn late_stream_with_fast_stages_names_the_engine() {
    let explanation = explain_lines(
        "ab",
        &[
            "33 g1 INFO stream: ended call=ab server=i-1 end=whole events=9 pieces_ms=300 \
             aim_ms=1000 begun_ms=2300 ms=3000",
        ],
    );

    assert!(
        explanation.cause.contains("the engine 2000 ms"),
        "{}",
        explanation.cause
    );
}

/// A settlement was sent to a server that failed; its caller got the answer that it may have run.
#[test]
fn lost_answer_names_the_server() {
    let explanation = explain_lines(
        "ab",
        &[
            "10 g1 INFO request: send without answer call=ab server=i-9 end=lost ms=31",
            "11 g1 INFO request: refused call=ab code=4003 reason=AnswerLost ran=unknown ms=32",
        ],
    );

    assert_eq!(explanation.sentences.len(), 2);
    assert!(
        explanation.cause.contains("i-9 gave no answer (lost)"),
        "{}",
        explanation.cause
    );
}

/// An answer is late because its server was full. To explain the choice of the server, the cause
/// shows the gateway's own count (one request) and the reported load, which was half a second old.
#[test]
fn answer_shows_the_load_behind_the_choice_and_its_age() {
    let explanation = explain_lines(
        "ab",
        &[
            "9 g1 INFO request: answered call=ab route=r server=i-9 status=200 sends=1 in_flight=1 told=6 told_age_ms=480 aim_ms=100 ms=231",
        ],
    );

    assert!(
        explanation.cause.ends_with(
            "chosen with 1 of this gateway's requests there, it had told 6 480 ms before."
        ),
        "{}",
        explanation.cause
    );
}

/// A server that has not reported its load is chosen by the gateway's own count alone.
#[test]
fn missing_load_report_is_shown() {
    let explanation = explain_lines(
        "ab",
        &[
            "9 g1 INFO request: send without answer call=ab server=i-9 end=lost in_flight=0 told=- told_age_ms=- ms=31",
            "11 g1 INFO request: refused call=ab code=4003 reason=AnswerLost ran=unknown ms=32",
        ],
    );

    assert!(
        explanation.cause.contains("it had told nothing"),
        "{}",
        explanation.cause
    );
}

#[test]
fn stream_broken_by_its_engine_names_the_engine() {
    let explanation = explain_lines(
        "ab",
        &["33 g1 INFO stream: ended call=ab server=i-1 end=broken events=4 begun_ms=200 ms=300"],
    );

    assert_eq!(
        explanation.cause,
        "Broken off by engine i-1 after 4 events."
    );
}

/// Guards against explaining a request as served in time although its gateway lost power while the
/// request was open. No line names such a request, but its gateway starts again without a stop.
#[test]
fn request_open_at_a_killed_gateway_is_not_explained_as_served() {
    let mut trace = RequestTrace::new("c1");
    for line in [
        "1000 INFO gateway: started instance=front-1-aa zone=east",
        "1001 INFO gateway: started instance=front-2-bb zone=east",
        "5000 INFO gateway: stopped instance=front-2-bb open=0",
        "6000 INFO gateway: started instance=front-2-cc zone=east",
        "7000 INFO gateway: started instance=front-1-dd zone=east",
    ] {
        trace.add_line(line);
    }

    let cause = trace.explain().cause;

    assert!(cause.contains("killed or lost power"), "{cause}");
    assert!(
        cause.contains("1 gateways") && cause.contains("front-1 by 7000"),
        "{cause}"
    );
    assert!(!cause.contains("front-2"), "{cause}");
}

/// A caller disconnects before its answer begins, while other gateways are unreachable. Its own
/// line shows how the request ended; lines of other gateways show what it waited for.
#[test]
fn disconnected_caller_is_explained_with_what_its_request_waited_for() {
    let for_pieces = explain_lines(
        "ab",
        &[
            "31 g1 INFO batches: owner lost call=ab owner=g2-17 reason=\"it fell silent\"",
            "34 g1 INFO request: caller left call=ab ms=4400",
        ],
    );
    let for_an_engine = explain_lines(
        "ab",
        &[
            "31 g2 INFO batches: pieces made call=ab stages_waited_worked_ms=4+268",
            "34 g1 INFO request: caller left call=ab ms=4400",
        ],
    );

    assert!(for_pieces.cause.contains("4400 ms"), "{}", for_pieces.cause);
    assert!(for_pieces.cause.contains("g2-17"), "{}", for_pieces.cause);
    assert!(
        for_an_engine.cause.contains("engine"),
        "{}",
        for_an_engine.cause
    );
}

/// Operators evacuate a zone after one of its servers was chosen and before the send. Nothing was
/// sent, and the explanation must say so.
#[test]
fn withheld_send_is_not_explained_as_unanswered() {
    let explanation = explain_lines(
        "ab",
        &[
            "30 g1 INFO request: send without answer call=ab server=i-7 end=evacuated ms=0",
            "31 g1 INFO request: refused call=ab code=2108 reason=ZonesEvacuated ran=no ms=3",
        ],
    );

    assert!(
        explanation.sentences[0].contains("withheld"),
        "{explanation:?}"
    );
    assert!(explanation.cause.contains("2108"), "{}", explanation.cause);
    assert!(
        explanation.cause.contains("evacuated"),
        "{}",
        explanation.cause
    );
}

/// A request is quarantined because the same content, sent under other ids, crashed servers.
#[test]
fn quarantined_request_names_the_crashed_servers() {
    let explanation = explain_lines(
        "ab",
        &[
            "10 g2 WARN quarantine: suspect held back suspect=f1 crashed=3 servers=s1,s2,s3",
            "11 g2 WARN quarantine: suspect held back suspect=f2 crashed=3 servers=s4,s5,s6",
            "12 g1 INFO request: held back call=ab suspect=f1 parts=- crashed=3",
            "12 g1 INFO request: refused call=ab code=2110 reason=RequestQuarantined ran=no ms=1",
        ],
    );

    assert!(explanation.cause.contains("2110"), "{}", explanation.cause);
    assert!(
        explanation.cause.contains("s1,s2,s3"),
        "{}",
        explanation.cause
    );
}
