//! The adapter as a process: what goes in, what comes out, and how it ends.
#![allow(clippy::unwrap_used)]
use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter on this input: standard output, standard error and whether it ended well.
fn run(input: &str) -> (String, String, bool) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_troutknot-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // A bad line ends the process before all is written; the outcome is judged by what it printed.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    let out = child.wait_with_output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (text(out.stdout), text(out.stderr), out.status.success())
}

const BEGIN: &str = r#"{"op":"begin_batch","time":1000}"#;
const END: &str = r#"{"op":"eof_batch"}"#;
const CREATE: &str = r#"{"op":"create","i":3,"nonce64":5,"profile_data":{"balancers":1,"limits":{"max_allocations":3},"project_types":[{"effect":"safe","hard_limit":5000000,"promised_turnaround":80000}],"new_key":[1]}}"#;
const SHEET: &str = r#"{"op":"sheet","sheet":0,"entries":[{"executor":"executor_a","dc":0,"hw":0,"stripe":0,"phase":"healthy","scale":1,"start_time":null}]}"#;
const KNOWN: &str = r#"{"op":"peers_known","i":3,"kind":"warm_copy","stamp":1,"sheet":0}"#;
const REQUEST: &str = r#"{"op":"new_request","i":3,"call":"00ff1911375d3a91","cores_needed":1,"time_left":240000,"priority":0,"new_key":null}"#;
const PROBE: &str = r#"{"op":"sample","i":3,"executor":"executor_a"}"#;

#[test]
fn batches_and_replies() {
    let lines = |parts: &[&str]| parts.join("\n") + "\n";
    let other = SHEET.replace("executor_a", "executor_b");
    let (halt, again) = (r#"{"op":"halt","i":3}"#, r#"{"unknown":1,"op":"some_new_op"}"#);
    let gone = r#"{"op":"withdrawn","i":3,"call":"61f8e9340e6f2b19"}"#;
    let done = r#"{"op":"done"}"#;
    // A peer's message in base64: what it says is heard, what is not understood is counted.
    let peer = |body: &str| format!(r#"{{"op":"inbox","i":3,"origin_peer":1,"body":{body}}}"#);
    let (dropped, odd) =
        (peer("\"AQE=\""), [peer("\"AQ==\""), peer("\"AQEB\""), peer("\"?\""), peer("null")]);
    let heard = r#"{"op":"emit","i":3,"line":"idle connections were lost: no connection is used again that was idle for 200 ms"}"#;
    let counted = r#"{"op":"emit","i":3,"line":"4 messages passed over: not understood"}"#;
    let probe_b = PROBE.replace("executor_a", "executor_b");
    for (input, expected) in [
        (lines(&[BEGIN, END]), vec![done]),
        (lines(&[BEGIN, CREATE, SHEET, KNOWN, REQUEST, END]), vec![PROBE, done]),
        // A sheet's number is overwritten within the batch; resolution follows the order of events.
        (lines(&[BEGIN, CREATE, SHEET, &other, KNOWN, REQUEST, END]), vec![&probe_b, done]),
        (lines(&[BEGIN, CREATE, SHEET, KNOWN, &other, REQUEST, END]), vec![PROBE, done]),
        // Halted and made anew within a batch: nothing of the first life is left.
        (lines(&[BEGIN, CREATE, SHEET, KNOWN, REQUEST, halt, CREATE, KNOWN, END]), vec![done]),
        (lines(&[BEGIN, CREATE, SHEET, KNOWN, REQUEST, halt, END]), vec![done]),
        (lines(&[BEGIN, CREATE, &dropped, &dropped, END]), vec![heard, done]),
        (lines(&[BEGIN, CREATE, &odd[0], &odd[1], &odd[2], &odd[3], END]), vec![counted, done]),
        (lines(&[BEGIN, &dropped, &odd[0], END]), vec![done]),
        (lines(&[BEGIN, CREATE, SHEET, KNOWN, again, gone, halt, gone, END]), vec![done]),
    ] {
        let (out, err, well) = run(&input);
        let kept: Vec<&str> = out.lines().filter(|line| !line.contains(r#""op":"after""#)).collect();
        assert_eq!((kept, err.as_str(), well), (expected, "", true), "{input}");
    }
}

#[test]
fn malformed_lines_are_named() {
    for (line, number, word) in [
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
        let (out, err, well) = run(&format!("{BEGIN}\n{line}\n{END}\n"));
        assert!(!well && out.is_empty(), "{line}: {out}");
        assert!(err.contains(&format!("line {number}")) && err.contains(word), "{line}: {err}");
        assert_eq!(err.lines().count(), 1, "{err}");
    }
}

/// Gone for long enough it is released without a word on the wire; back, it goes by its name again. An answer of
/// one that nobody knows changes nothing.
#[test]
fn an_executor_that_is_gone_and_back_goes_by_its_name() {
    let at = |seconds: u64| format!(r#"{{"op":"begin_batch","time":{}}}"#, seconds * 1_000_000);
    let list = |number: u64| {
        let of =
            SHEET.replace("\"sheet\":0", "\"sheet\":1").replace("executor_a", &format!("executor_{number}"));
        let known = KNOWN.replace("warm_copy", "total").replace("\"sheet\":0", "\"sheet\":1");
        [of, known].join("\n")
    };
    let timer = r#"{"op":"timer","i":3}"#;
    let stray = r#"{"op":"ping_result","i":3,"executor":"executor_9","state_code":"GOOD","lag":1000}"#;
    let mut lines = vec![at(0), CREATE.to_string(), END.to_string()];
    for round in 0..6 {
        lines.extend([at(1 + 4 * round), list(round % 2), END.to_string()]);
        lines.extend([at(3 + 4 * round), timer.to_string(), stray.to_string(), END.to_string()]);
    }
    lines.extend([at(30), REQUEST.to_string(), END.to_string()]);
    let (out, err, well) = run(&(lines.join("\n") + "\n"));
    let said: Vec<&str> = out.lines().filter(|line| !line.contains(r#""op":"after""#)).collect();
    let (batches, last) = (vec![r#"{"op":"done"}"#; 13], PROBE.replace("executor_a", "executor_1"));
    let expected = [batches, vec![&last, r#"{"op":"done"}"#]].concat();
    assert_eq!((said, err.as_str(), well), (expected, "", true));
}
