//! The story of one request from the log lines of several machines.

use amaranthscale::operator::explain::{LogLine, Story, Telling};

fn told(call: &str, lines: &[&str]) -> Telling {
    let mut story = Story::new(call);
    for line in lines {
        story.take(line);
    }
    story.tell()
}

#[test]
fn a_line_is_found_behind_what_others_wrote_before_it() {
    let line = "  29.9231 front-a-1 1700 INFO request: refused call=ab reason=\"no way\" ms=3";

    let line = LogLine::parse(line).unwrap();

    assert!((line.at - 29.9231).abs() < 1e-9);
    assert_eq!(line.before, "29.9231 front-a-1 1700");
    assert_eq!(line.event, "refused");
    assert_eq!(line.field("reason"), "no way");
    assert_eq!(line.number("ms"), Some(3));
}

#[test]
fn foreign_damaged_and_cut_lines_are_passed_over_and_counted() {
    let telling = told(
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

    assert_eq!(telling.passed_over, 4);
    assert!(telling.sentences.is_empty());
    assert!(telling.cause.contains("No line tells"), "{}", telling.cause);
}

/// A caller is refused though servers are there: the owner of the batches expects that the pieces
/// cannot be made in time. Its line stands in another machine's file.
#[test]
fn a_refusal_for_want_of_time_names_the_owners_reason() {
    let telling = told(
        "ab",
        &[
            "30 g1 INFO request: refused call=ab code=2101 reason=DeadlineUnreachable ran=no ms=4",
            "29 g1 INFO request: pieces not made call=ab reason=\"the pieces cannot be made: late\" ms=4",
            "28 g2 INFO batches: job refused call=ab reason=late waiting=88",
        ],
    );

    assert!(telling.sentences[0].starts_with("28 g2"), "{telling:?}");
    assert!(telling.cause.contains("2101"), "{}", telling.cause);
    assert!(
        telling.cause.contains("88 stages waiting"),
        "{}",
        telling.cause
    );
    assert!(telling.cause.contains("did not run"), "{}", telling.cause);
}

#[test]
fn a_late_stream_names_the_stage_that_took_the_time() {
    let telling = told(
        "ab",
        &[
            "31 g2 INFO batches: pieces made call=ab stages_waited_worked_ms=20+300,1500+410",
            "33 g1 INFO stream: ended call=ab server=i-1 end=whole events=9 pieces_ms=2230 \
             aim_ms=1900 begun_ms=2300 ms=3000",
        ],
    );

    let expected = "Late: begun after 2300 ms with an aim of 1900 ms; \
        stage 1 waited 1500 ms for a server and worked 410 ms.";
    assert_eq!(telling.cause, expected);
}

#[test]
fn a_late_stream_with_quick_stages_names_the_engine() {
    let telling = told(
        "ab",
        &[
            "33 g1 INFO stream: ended call=ab server=i-1 end=whole events=9 pieces_ms=300 \
             aim_ms=1000 begun_ms=2300 ms=3000",
        ],
    );

    assert!(
        telling.cause.contains("the engine 2000 ms"),
        "{}",
        telling.cause
    );
}

/// A settlement was sent to a server that died: the caller was told that it may have run.
#[test]
fn a_lost_answer_names_the_server() {
    let telling = told(
        "ab",
        &[
            "10 g1 INFO request: send without answer call=ab server=i-9 end=lost ms=31",
            "11 g1 INFO request: refused call=ab code=4003 reason=AnswerLost ran=unknown ms=32",
        ],
    );

    assert_eq!(telling.sentences.len(), 2);
    assert!(
        telling.cause.contains("i-9 gave no answer (lost)"),
        "{}",
        telling.cause
    );
}

/// A weight confirmation came late from a server that was full: the engineer asks why it went there.
/// The gateway had one request at that server, and what the server had told was half a second old.
#[test]
fn the_load_that_a_server_was_chosen_by_is_told_with_its_age() {
    let telling = told(
        "ab",
        &[
            "9 g1 INFO request: answered call=ab route=r server=i-9 status=200 sends=1 in_flight=1 told=6 told_age_ms=480 aim_ms=100 ms=231",
        ],
    );

    assert!(
        telling.cause.ends_with(
            "chosen with 1 of this gateway's requests there, it had told 6 480 ms before."
        ),
        "{}",
        telling.cause
    );
}

/// A server that has told nothing yet is chosen by the gateway's own count alone.
#[test]
fn a_load_that_was_never_told_is_said_so() {
    let telling = told(
        "ab",
        &[
            "9 g1 INFO request: send without answer call=ab server=i-9 end=lost in_flight=0 told=- told_age_ms=- ms=31",
            "11 g1 INFO request: refused call=ab code=4003 reason=AnswerLost ran=unknown ms=32",
        ],
    );

    assert!(
        telling.cause.contains("it had told nothing"),
        "{}",
        telling.cause
    );
}

#[test]
fn a_stream_that_its_engine_broke_off_says_so() {
    let telling = told(
        "ab",
        &["33 g1 INFO stream: ended call=ab server=i-1 end=broken events=4 begun_ms=200 ms=300"],
    );

    assert_eq!(telling.cause, "Broken off by engine i-1 after 4 events.");
}

/// A request was open when its gateway lost power, and no line names it. It was told to have been
/// served in time, though the gateway started again without having stopped.
#[test]
fn a_request_that_ended_with_its_gateway_is_not_told_as_served() {
    let mut story = Story::new("c1");
    for line in [
        "1000 INFO gateway: started instance=front-1-aa zone=east",
        "1001 INFO gateway: started instance=front-2-bb zone=east",
        "5000 INFO gateway: stopped instance=front-2-bb open=0",
        "6000 INFO gateway: started instance=front-2-cc zone=east",
        "7000 INFO gateway: started instance=front-1-dd zone=east",
    ] {
        story.take(line);
    }

    let cause = story.tell().cause;

    assert!(cause.contains("killed or lost power"), "{cause}");
    assert!(
        cause.contains("1 gateways") && cause.contains("front-1 by 7000"),
        "{cause}"
    );
    assert!(!cause.contains("front-2"), "{cause}");
}

/// A caller leaves without a word of an answer, beside a cut of other gateways. Its line stands there, and
/// says how it ended; what it waited for is told by the others' lines.
#[test]
fn a_caller_that_left_is_told_with_what_it_waited_for() {
    let for_pieces = told(
        "ab",
        &[
            "31 g1 INFO batches: owner lost call=ab owner=g2-17 reason=\"it fell silent\"",
            "34 g1 INFO request: caller left call=ab ms=4400",
        ],
    );
    let for_an_engine = told(
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

/// Operators evacuate a zone between a choice and its send. Nothing was sent there, and the story says so.
#[test]
fn a_withheld_send_is_not_told_as_one_without_an_answer() {
    let telling = told(
        "ab",
        &[
            "30 g1 INFO request: send without answer call=ab server=i-7 end=evacuated ms=0",
            "31 g1 INFO request: refused call=ab code=2108 reason=ZonesEvacuated ran=no ms=3",
        ],
    );

    assert!(telling.sentences[0].contains("withheld"), "{telling:?}");
    assert!(telling.cause.contains("2108"), "{}", telling.cause);
    assert!(telling.cause.contains("evacuated"), "{}", telling.cause);
}

/// A caller asks why its request is refused: what crashed the servers was sent under other ids.
#[test]
fn a_request_that_is_held_back_names_the_servers_that_crashed_under_it() {
    let telling = told(
        "ab",
        &[
            "10 g2 WARN quarantine: request held back fingerprint=f1 crashed=3 servers=s1,s2,s3",
            "11 g2 WARN quarantine: request held back fingerprint=f2 crashed=3 servers=s4,s5,s6",
            "12 g1 INFO request: held back call=ab fingerprint=f1 crashed=3",
            "12 g1 INFO request: refused call=ab code=2110 reason=RequestQuarantined ran=no ms=1",
        ],
    );

    assert!(telling.cause.contains("2110"), "{}", telling.cause);
    assert!(telling.cause.contains("s1,s2,s3"), "{}", telling.cause);
}
