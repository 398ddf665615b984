//! Lines between two processes of a node: what is read, and what is not taken.
use super::*;

const BOUNDS: Bounds = Bounds { executors: 3, ids: 1000 };

fn all(lines: &[&str]) -> Result<Option<Inherited>, CodecError> {
    let mut inherited = Inherited::default();
    for line in lines {
        if inherited.apply(decode(line.as_bytes())?, "n0", BOUNDS)? {
            return Ok(Some(inherited));
        }
    }
    Ok(None)
}

const HELLO: &str = r#"{"say":"hello","form":1,"name":"n0"}"#;
const TOLD: &str = r#"{"say":"told"}"#;

/// As this release writes it: a later one must go on reading it.
const FROZEN: &[&str] = &[
    HELLO,
    r#"{"say":"out","executors":["s-1","s-2"]}"#,
    r#"{"say":"drained","drained":true,"number":0}"#,
    r#"{"say":"list","version":7,"entries":[{"id":"s-1","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":0,"state":"Ready","weight":1.0,"started_ms":5.0}]}"#,
    r#"{"say":"ids","ids":[18446744073709551615,1]}"#,
    r#"{"say":"executors","executors":[{"id":"s-1","failed":[0.5,10.0],"judged":[2.0,10.0],"slots":4.0,"cold_spent":[[9.0,120.0]]}]}"#,
    r#"{"say":"work","types":[["render",120.0,31.0]],"mean_run":110.0,"waiting_share":0.1,"lag":1.5,"draws":2}"#,
    r#"{"say":"leave-out","executor":"s-2","out":false,"number":3}"#,
    TOLD,
];

#[test]
fn what_this_release_writes_stays_readable() {
    for line in FROZEN {
        let message = decode(line.as_bytes()).unwrap();
        assert_eq!(String::from_utf8(encode(&message)).unwrap().trim_end(), *line);
    }
    let inherited = all(FROZEN).unwrap().expect("all is told");
    assert_eq!((inherited.excluded, inherited.is_drained), (BTreeSet::from(["s-1".to_string()]), true));
    assert_eq!((inherited.version, inherited.entries.len(), inherited.ids.len()), (Some(7), 1, 2));
    assert_eq!((inherited.executors[0].max_slots, inherited.running_times.unwrap().sample_size), (4.0, 2));
}

#[test]
fn what_is_cut_odd_or_of_another_form_is_not_taken() {
    let later = r#"{"say":"weather","rain":true}"#;
    assert!(all(&[HELLO, later, FROZEN[6], TOLD]).unwrap().is_some(), "more in the same form is skipped");
    let negative = FROZEN[6].replace("110.0", "-1.0");
    assert!(all(&FROZEN[..FROZEN.len() - 1]).unwrap().is_none(), "cut off before its end");
    let many = r#"{"say":"out","executors":["1","2","3","4"]}"#;
    for (lines, part) in [
        (&[TOLD][..], "states no protocol version"),
        (&[r#"{"say":"hello","form":2,"name":"n0"}"#], "version 2, this release speaks 1"),
        (&[r#"{"say":"hello","form":1,"name":"n1"}"#], "another node, `n1`"),
        (&["GET / HTTP/1.1"], "malformed message"),
        (&[HELLO, &FROZEN[3][..40]], "malformed message"),
        (&[HELLO, r#"{"say":"ids","ids":[-1]}"#], "malformed message"),
        (&[HELLO, r#"{"say":"executors","executors":[{"id":"s-1"}]}"#], "malformed message"),
        (&[HELLO, TOLD], "without running times"),
        (&[HELLO, &negative], "-1 is not a finite number"),
        (&[HELLO, many], "list of 4 items, at most 3"),
    ] {
        let why = all(lines).expect_err(part).to_string();
        assert!(why.contains(part), "{why}");
    }
}

#[test]
fn much_of_something_goes_into_several_lines_and_comes_out_whole() {
    let ids: Vec<u64> = (0..999).collect();
    let lines = split_list(&ids, |ids| Message::Ids { ids });
    let mut inherited = Inherited::default();
    let hello = Message::Hello { version: PROTOCOL_VERSION, name: "n0".into() };
    for message in [hello].into_iter().chain(lines) {
        let line = encode(&message);
        assert!(line.len() < MAX_LINE_BYTES);
        assert!(!inherited.apply(decode(&line).unwrap(), "n0", BOUNDS).unwrap());
    }
    assert_eq!(inherited.ids, ids);
    assert_eq!(split_list(&[], |ids| Message::Ids { ids }), [Message::Ids { ids: Vec::new() }]);
}
