//! The adapter as a process: replies to batches, and errors for invalid input.
#![allow(clippy::unwrap_used)]
use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter on this input. Returns standard output, standard error and whether it exited successfully.
fn run(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_troutknot-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // An invalid line ends the process before the whole input is written, so a write error is ignored; the tests check
    // the output.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let out = child.wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (text(out.stdout), text(out.stderr), out.status.success())
}

const BEGIN: &str = r#"{"op":"begin_batch","time":1000}"#;
const END: &str = r#"{"op":"eof_batch"}"#;
const CREATE: &str = r#"{"op":"create","i":3,"nonce64":5,"profile_data":{"balancers":1,"limits":{"max_allocations":3},"project_types":[{"effect":"safe","hard_limit":5000000,"promised_turnaround":80000}],"new_key":[1]}}"#;
const SHEET: &str = r#"{"op":"sheet","sheet":0,"entries":[{"executor":"executor_a","dc":0,"hw":0,"stripe":0,"phase":"healthy","scale":1,"start_time":null}]}"#;
const LISTED: &str = r#"{"op":"peers_known","i":3,"kind":"warm_copy","stamp":1,"sheet":0}"#;
const REQUEST: &str = r#"{"op":"new_request","i":3,"call":"00ff1911375d3a91","cores_needed":1,"time_left":240000,"priority":0,"new_key":null}"#;
const PROBE: &str = r#"{"op":"sample","i":3,"executor":"executor_a"}"#;

/// Guards against events that are lost, applied to the wrong instance or answered in the wrong order.
#[test]
fn each_batch_is_answered_with_the_actions_of_its_events() {
    let lines = |parts: &[&str]| parts.join("\n") + "\n";
    let other = SHEET.replace("executor_a", "executor_b");
    let (halt, unknown) = (r#"{"op":"halt","i":3}"#, r#"{"unknown":1,"op":"some_new_op"}"#);
    let withdrawn = r#"{"op":"withdrawn","i":3,"call":"61f8e9340e6f2b19"}"#;
    let done = r#"{"op":"done"}"#;
    // Gossip in base64: a valid message is applied, and invalid ones are counted.
    let peer = |body: &str| format!(r#"{{"op":"inbox","i":3,"origin_peer":1,"body":{body}}}"#);
    let (connection_lost, malformed) =
        (peer("\"AQE=\""), [peer("\"AQ==\""), peer("\"AQEB\""), peer("\"?\""), peer("null")]);
    let logged_loss = r#"{"op":"emit","i":3,"line":"idle connections were lost: no connection is used again that was idle for 200 ms"}"#;
    let logged_count = r#"{"op":"emit","i":3,"line":"4 unreadable gossip messages ignored"}"#;
    let probe_b = PROBE.replace("executor_a", "executor_b");
    for (input, expected) in [
        (lines(&[BEGIN, END]), vec![done]),
        (lines(&[BEGIN, CREATE, SHEET, LISTED, REQUEST, END]), vec![PROBE, done]),
        // A sheet is redefined within the batch: an update uses the definition before it.
        (lines(&[BEGIN, CREATE, SHEET, &other, LISTED, REQUEST, END]), vec![&probe_b, done]),
        (lines(&[BEGIN, CREATE, SHEET, LISTED, &other, REQUEST, END]), vec![PROBE, done]),
        // An instance that is stopped and created again within a batch has no state of the first one.
        (lines(&[BEGIN, CREATE, SHEET, LISTED, REQUEST, halt, CREATE, LISTED, END]), vec![done]),
        (lines(&[BEGIN, CREATE, SHEET, LISTED, REQUEST, halt, END]), vec![done]),
        (lines(&[BEGIN, CREATE, &connection_lost, &connection_lost, END]), vec![logged_loss, done]),
        (
            lines(&[BEGIN, CREATE, &malformed[0], &malformed[1], &malformed[2], &malformed[3], END]),
            vec![logged_count, done],
        ),
        (lines(&[BEGIN, &connection_lost, &malformed[0], END]), vec![done]),
        (lines(&[BEGIN, CREATE, SHEET, LISTED, unknown, withdrawn, halt, withdrawn, END]), vec![done]),
    ] {
        let (out, err, is_success) = run(&input);
        let replies: Vec<&str> = out.lines().filter(|line| !line.contains(r#""op":"after""#)).collect();
        assert_eq!((replies, err.as_str(), is_success), (expected, "", true), "{input}");
    }
}

/// The error for an invalid line contains its number and the cause, and there is no reply.
#[test]
fn the_error_for_an_invalid_line_contains_its_number_and_cause() {
    for (line, number, cause) in [
        ("nonsense", 2, "expected"),
        (r#"{"i":3}"#, 2, "op"),
        (r#"{"op":"begin_batch","time":1}"#, 2, "batch"),
        (r#"{"op":"timer","i":"x"}"#, 2, "invalid type"),
        (r#"{"op":"new_request","i":3,"call":"xyz","time_left":1,"priority":0}"#, 2, "hex"),
        (r#"{"op":"new_request","i":3,"call":"61f8e9340e6f2b19","priority":0}"#, 2, "time_left"),
        (r#"{"op":"peers_known","i":3,"kind":"total","stamp":1,"sheet":9}"#, 2, "sheet 9"),
        (r#"{"op":"create","i":3,"nonce64":5,"profile_data":{"balancers":"two"}}"#, 2, "balancers"),
        (r#"{"op":"create","i":3,"nonce64":5,"profile_data":{"limits":{"peers":1}}}"#, 2, "`limits.peers`"),
        (r#"{"op":"create","i":3,"nonce64":5,"profile_data":{"weight_source":3}}"#, 2, "`weight_source`"),
        ("{\"op\":\"timer\",\"i\":3,\u{1}", 2, "column"),
    ] {
        let (out, err, is_success) = run(&format!("{BEGIN}\n{line}\n{END}\n"));
        assert!(!is_success && out.is_empty(), "{line}: {out}");
        assert!(err.contains(&format!("line {number}")) && err.contains(cause), "{line}: {err}");
        assert_eq!(err.lines().count(), 1, "{err}");
    }
}

/// An executor that is gone for long enough is released without a line of output, and is probed by its name when it
/// is listed again. The probe result of an unknown executor has no effect.
#[test]
fn a_released_executor_that_is_listed_again_is_probed_by_its_name() {
    let at = |seconds: u64| format!(r#"{{"op":"begin_batch","time":{}}}"#, seconds * 1_000_000);
    let list = |number: u64| {
        let sheet =
            SHEET.replace("\"sheet\":0", "\"sheet\":1").replace("executor_a", &format!("executor_{number}"));
        let update = LISTED.replace("warm_copy", "total").replace("\"sheet\":0", "\"sheet\":1");
        [sheet, update].join("\n")
    };
    let timer = r#"{"op":"timer","i":3}"#;
    let stray = r#"{"op":"ping_result","i":3,"executor":"executor_9","state_code":"GOOD","lag":1000}"#;
    let mut lines = vec![at(0), CREATE.to_string(), END.to_string()];
    for round in 0..6 {
        lines.extend([at(1 + 4 * round), list(round % 2), END.to_string()]);
        lines.extend([at(3 + 4 * round), timer.to_string(), stray.to_string(), END.to_string()]);
    }
    lines.extend([at(30), REQUEST.to_string(), END.to_string()]);
    let (out, err, is_success) = run(&(lines.join("\n") + "\n"));
    let replies: Vec<&str> = out.lines().filter(|line| !line.contains(r#""op":"after""#)).collect();
    let (batches, last) = (vec![r#"{"op":"done"}"#; 13], PROBE.replace("executor_a", "executor_1"));
    let expected = [batches, vec![&last, r#"{"op":"done"}"#]].concat();
    assert_eq!((replies, err.as_str(), is_success), (expected, "", true));
}
