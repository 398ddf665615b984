//! Messages between two processes of a node: accepted messages, and those that are errors.
use super::*;
use crate::hot_restart::job_record::reply;

const BOUNDS: StateBounds = StateBounds { excluded: 3, entries: 3, executors: 3, ids: 1000 };

fn apply_all(lines: &[&str]) -> Result<Option<InheritedState>, CodecError> {
    let mut inherited = InheritedState::default();
    for line in lines {
        if inherited.apply(decode(line.as_bytes())?, "n0", BOUNDS)? {
            return Ok(Some(inherited));
        }
    }
    Ok(None)
}

const HELLO: &str = r#"{"say":"hello","form":1,"name":"n0"}"#;
const COMPLETE: &str = r#"{"say":"told"}"#;

/// The messages as this release writes them. Later releases must be able to read them.
const FROZEN: &[&str] = &[
    HELLO,
    r#"{"say":"out","executors":["s-1","s-2"]}"#,
    r#"{"say":"drained","drained":true,"number":0}"#,
    r#"{"say":"list","version":7,"entries":[{"id":"s-1","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":0,"state":"Ready","weight":1.0,"started_ms":5.0}]}"#,
    r#"{"say":"ids","ids":[18446744073709551615,1]}"#,
    r#"{"say":"executors","executors":[{"id":"s-1","failed":[0.5,10.0],"judged":[2.0,10.0],"slots":4.0,"cold_spent":[[9.0,120.0]]}]}"#,
    r#"{"say":"work","types":[["render",120.0,31.0]],"mean_run":110.0,"waiting_share":0.1,"lag":1.5,"draws":2}"#,
    r#"{"say":"leave-out","executor":"s-2","out":false,"number":3}"#,
    COMPLETE,
];

#[test]
fn messages_of_this_release_stay_readable() {
    for line in FROZEN {
        let message = decode(line.as_bytes()).unwrap();
        assert_eq!(String::from_utf8(encode(&message)).unwrap().trim_end(), *line);
    }
    let inherited = apply_all(FROZEN).unwrap().expect("the state is complete");
    assert_eq!((inherited.excluded, inherited.is_drained), (vec!["s-1".to_string()], true));
    assert_eq!((inherited.version, inherited.entries.len(), inherited.ids.len()), (Some(7), 1, 2));
    assert_eq!((inherited.executors[0].max_slots, inherited.running_times.unwrap().sample_size), (4.0, 2));
}

/// The messages that the first release of this protocol does not know, as this release writes them.
const LATER_MESSAGES: &[&str] = &[
    r#"{"say":"protected-ids","ids":[7]}"#,
    r#"{"say":"answers-claims"}"#,
    r#"{"say":"claim","id":7,"number":4}"#,
    r#"{"say":"refused","number":4}"#,
    r#"{"say":"found","number":4,"job":{"is":"new"}}"#,
    r#"{"say":"found","number":4,"job":{"is":"unresolved"}}"#,
    r#"{"say":"found","number":4,"job":{"is":"completed","result":"a\n"}}"#,
    r#"{"say":"found","number":4,"job":{"is":"rejected","retry_after_ms":50.0}}"#,
    r#"{"say":"found","number":4,"job":{"is":"failed"}}"#,
    r#"{"say":"found","number":4,"job":{"is":"key-mismatch"}}"#,
    r#"{"say":"found","number":4,"job":{"is":"duplicate-id"}}"#,
];

#[test]
fn later_messages_of_this_release_stay_readable() {
    let look_up =
        format!(r#"{{"say":"look-up","number":4,"job":{{"key":"k1","id":"a1","digest":{:?}}}}}"#, [7; 32])
            .replace(", ", ",");
    for line in LATER_MESSAGES.iter().copied().chain([look_up.as_str()]) {
        let message = decode(line.as_bytes()).unwrap();
        assert_eq!(String::from_utf8(encode(&message)).unwrap().trim_end(), line);
    }
}

/// A line above its bound would end the connection of the two processes.
#[test]
fn a_result_that_does_not_fit_into_a_line_is_reported_as_unresolved() {
    let is_unresolved = |result: String| {
        let message = reply(1, JobRecord::Completed { result });
        assert!(encode(&message).len() <= MAX_LINE_BYTES);
        message == Message::Found { number: 1, job: JobRecord::Unresolved }
    };
    assert!(!is_unresolved("r".repeat(128 * 1024)));
    assert!(is_unresolved("\u{1}".repeat(64 * 1024)), "each byte takes six as an escape");
}

#[test]
fn truncated_malformed_and_incompatible_messages_are_errors() {
    let later = r#"{"say":"weather","rain":true}"#;
    assert!(
        apply_all(&[HELLO, later, FROZEN[6], COMPLETE]).unwrap().is_some(),
        "unknown messages of the same version are ignored"
    );
    let negative = FROZEN[6].replace("110.0", "-1.0");
    assert!(apply_all(&FROZEN[..FROZEN.len() - 1]).unwrap().is_none(), "truncated");
    let many = r#"{"say":"out","executors":["1","2","3","4"]}"#;
    for (lines, part) in [
        (&[COMPLETE][..], "states no protocol version"),
        (&[r#"{"say":"hello","form":2,"name":"n0"}"#], "version 2, this release speaks 1"),
        (&[r#"{"say":"hello","form":1,"name":"n1"}"#], "another node, `n1`"),
        (&["GET / HTTP/1.1"], "malformed message"),
        (&[HELLO, &FROZEN[3][..40]], "malformed message"),
        (&[HELLO, r#"{"say":"ids","ids":[-1]}"#], "malformed message"),
        (&[HELLO, r#"{"say":"executors","executors":[{"id":"s-1"}]}"#], "malformed message"),
        (&[HELLO, COMPLETE], "without running times"),
        (&[HELLO, &negative], "-1 is not a finite number"),
        (&[HELLO, many], "list of 4 items, at most 3"),
    ] {
        let error = apply_all(lines).expect_err(part).to_string();
        assert!(error.contains(part), "{error}");
    }
}

#[test]
fn a_long_list_is_split_into_messages_and_received_completely() {
    let ids: Vec<u64> = (0..999).collect();
    let lines = split_list(&ids, |ids| Message::Ids { ids });
    let mut inherited = InheritedState::default();
    let hello = Message::Hello { version: PROTOCOL_VERSION, name: "n0".into() };
    for message in [hello].into_iter().chain(lines) {
        let line = encode(&message);
        assert!(line.len() < MAX_LINE_BYTES);
        assert!(!inherited.apply(decode(&line).unwrap(), "n0", BOUNDS).unwrap());
    }
    assert_eq!(inherited.ids, ids);
    assert_eq!(split_list(&[], |ids| Message::Ids { ids }), [Message::Ids { ids: Vec::new() }]);
}

/// Applies the messages of a state behind a valid head.
fn apply_messages(messages: &[Message], bounds: StateBounds) -> Result<InheritedState, CodecError> {
    let mut inherited = InheritedState::default();
    inherited.apply(decode(HELLO.as_bytes())?, "n0", bounds)?;
    for message in messages {
        let line = encode(message);
        assert!(line.len() <= MAX_LINE_BYTES, "{} bytes", line.len());
        inherited.apply(decode(&line)?, "n0", bounds)?;
    }
    Ok(inherited)
}

/// Guards against a state that no new process can read: with 200 items a line, executors in slow start or long names
/// exceeded the bound of a line, and exclusions and recent ids were lost with the rest.
#[test]
fn items_of_any_length_are_split_into_lines_within_their_bound() {
    let many = StateBounds { excluded: 1000, entries: 1000, executors: 1000, ids: 1000 };
    let spent = SpentBudget(WarmUpDispatch { at: 1_700_000_000_000.123, work: 123.456_789 });
    let state = |number: usize| ExecutorState {
        id: format!("s-{number}"),
        failure_score: Score::default(),
        observations: Score::default(),
        max_slots: 4.0,
        warm_up_spent: vec![spent; 100],
    };
    let executors: Vec<ExecutorState> = (0..500).map(state).collect();
    let messages = split_list(&executors, |executors| Message::Executors { executors });
    assert_eq!(apply_messages(&messages, many).unwrap().executors, executors);
    let names: Vec<String> = (0..500).map(|number| format!("{number}{}", "n".repeat(5000))).collect();
    let messages = split_list(&names, |executors| Message::Excluded { executors });
    assert_eq!(apply_messages(&messages, many).unwrap().excluded, names);
    let too_long = ["n".repeat(MAX_LINE_BYTES), "a".to_string()];
    let messages = split_list(&too_long, |executors| Message::Excluded { executors });
    assert_eq!(apply_messages(&messages, many).unwrap().excluded, too_long[1..]);
}

/// A new process with less memory than the old one must not lose exclusions and recent ids because other parts of the
/// state exceed its bounds.
#[test]
fn parts_above_their_bound_are_dropped_and_the_rest_of_the_state_is_kept() {
    let list = |ids: &[u64]| Message::Ids { ids: ids.to_vec() };
    let entries = |count: usize| Message::List {
        version: Some(7),
        entries: (0..count).map(|number| EndpointEntry::gone(&format!("s-{number}"))).collect(),
    };
    let state = |number: usize| {
        let line = FROZEN[5].replace("s-1", &format!("s-{number}"));
        decode(line.as_bytes()).unwrap()
    };
    let mut messages =
        vec![decode(FROZEN[1].as_bytes()).unwrap(), entries(2), entries(4), list(&[1, 2]), list(&[3, 4, 5])];
    messages.extend((0..5).map(state));
    let bounds = StateBounds { ids: 3, ..BOUNDS };
    let inherited = apply_messages(&messages, bounds).unwrap();
    assert_eq!(inherited.excluded, ["s-1", "s-2"]);
    assert_eq!((inherited.entries.len(), inherited.dropped_entries), (3, 3));
    assert_eq!((inherited.ids, inherited.executors.len()), (vec![3, 4, 5], 3), "the latest ids");
}
