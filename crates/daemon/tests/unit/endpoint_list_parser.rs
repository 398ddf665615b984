//! Parsing of endpoint lists in pieces of any size, and of lists over their bounds or invalid.
use super::*;

const BOUNDS: ParseBounds = ParseBounds { max_list_bytes: 4096, max_buffered_bytes: 1024, max_entries: 8 };

fn parser(bounds: ParseBounds) -> EndpointListParser {
    EndpointListParser::new(bounds, Retention::for_node("n0"))
}

/// Parses a text in pieces of this size. Returns the lists, the error, and whether the text ends inside a list.
fn parse(bounds: ParseBounds, text: &str, step: usize) -> (Vec<EndpointList>, Option<String>, bool) {
    let (mut parser, mut lists) = (parser(bounds), Vec::new());
    for piece in text.as_bytes().chunks(step) {
        parser.push(BytesMut::from(piece));
        loop {
            match parser.next() {
                Ok(Some(list)) => lists.push(list),
                Ok(None) => break,
                Err(error) => return (lists, Some(error.to_string()), parser.is_inside_list()),
            }
        }
    }
    (lists, None, parser.is_inside_list())
}

fn entry(name: &str) -> String {
    format!("{{\"id\":\"{name}\",\"addr\":\"x\",\"state\":\"Ready\"}}")
}

fn list(version: u64, is_snapshot: bool, entries: &[String]) -> String {
    format!("{{\"version\":{version},\"full\":{is_snapshot},\"servers\":[{}]}}\n", entries.join(","))
}

#[test]
fn lists_over_one_or_several_lines_are_parsed_in_pieces_of_any_size() {
    let single_line = "{\"version\":1,\"servers\":[]}";
    let nested = "{\"version\":2,\"more\":{\"a\":{}},\"servers\":[{\"id\":\"{\",\"state\":\"}\",\"b\":{}}]}";
    let indented = "{\n  \"servers\": [\n    {\"id\":\"a\",\n\"state\":\"Gone\"}\n  ],\n \"version\":3\n}\n";
    let quoted = "\t{\r\n\t\"a\": \"}\\\"{\\\\\",\r\n\"version\":4,\"full\":true,\r\n\"servers\":[]}\r\n";
    // Version, whether it is a snapshot, and the names of the entries.
    type Expected<'a> = (u64, bool, &'a [&'a str]);
    let cases: &[(String, &[Expected], bool)] = &[
        (format!("{single_line}\n"), &[(1, false, &[])], true),
        (
            format!("\n\n {single_line}\n\n{nested}{single_line}\n"),
            &[(1, false, &[]), (2, false, &["{"]), (1, false, &[])],
            true,
        ),
        (indented.into(), &[(3, false, &["a"])], true),
        (quoted.into(), &[(4, true, &[])], true),
        (format!("{single_line}\nwhat\n"), &[(1, false, &[])], false),
        (format!("{single_line}}}\n"), &[(1, false, &[])], false),
        ("{\"version\":\n\n".into(), &[], false),
        ("{\"servers\":[{\"id\":\n \n".into(), &[], false),
        ("{\"a\n \n".into(), &[], false),
        ("[]".into(), &[], false),
    ];
    for (text, expected, is_valid) in cases {
        for step in 1..=text.len() {
            let (lists, error, is_inside) = parse(BOUNDS, text, step);
            let names = |list: &EndpointList| list.entries.iter().map(|entry| entry.id.to_string()).collect();
            let actual: Vec<(u64, bool, Vec<String>)> =
                lists.iter().map(|list| (list.version, list.is_snapshot, names(list))).collect();
            let expected: Vec<(u64, bool, Vec<String>)> = expected
                .iter()
                .map(|(version, is_snapshot, names)| {
                    (*version, *is_snapshot, names.iter().map(|name| name.to_string()).collect())
                })
                .collect();
            assert_eq!((&actual, error.is_none()), (&expected, *is_valid), "{text:?} by {step}: {error:?}");
            assert!(error.is_some() || !is_inside, "{text:?} by {step}");
        }
    }
}

/// Entries that arrive in pieces have to equal those that are parsed from their complete text.
#[test]
fn entries_are_parsed_with_all_their_fields() {
    let full = r#"{"id":"s-1","addr":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"state":"Ready","weight":0.5,"started_ms":7}"#;
    let escaped = r#"{"id":"s-\"2\"","state":"Gone","later":[{"x":"}"}]}"#;
    let text = list(9, true, &[full.into(), escaped.into()]);
    let expected: Vec<EndpointEntry> =
        [full, escaped].iter().map(|text| serde_json::from_str(text).unwrap()).collect();
    for step in 1..=text.len() {
        let (lists, error, _) = parse(BOUNDS, &text, step);
        assert!(error.is_none() && lists.len() == 1, "{error:?}");
        assert_eq!((lists[0].version, lists[0].is_snapshot, &lists[0].entries), (9, true, &expected));
    }
}

#[test]
fn lists_that_are_truncated_invalid_or_over_the_bounds_are_errors() {
    let names = |count: usize| (0..count).map(|number| entry(&format!("s-{number}"))).collect::<Vec<_>>();
    let long = "x".repeat(1100);
    for (case, text, expected) in [
        ("no version", "{\"servers\":[]}".to_string(), "missing field `version`"),
        ("no entries", "{\"version\":1}".into(), "missing field `servers`"),
        (
            "an entry without a state",
            list(1, true, &[entry("a"), "{\"id\":\"s-1\"}".into()]),
            "missing field `state`",
        ),
        ("an entry without a name", list(1, true, &["{\"state\":\"Ready\"}".into()]), "missing field `id`"),
        ("an item that is no entry", list(1, true, &["7".into()]), "in an entry"),
        (
            "a number like the placeholder of an entry",
            list(1, true, &["0".into()]),
            "the entries and the items of `servers` differ",
        ),
        (
            "entries in another list",
            format!("{{\"version\":1,\"others\":[{}],\"servers\":[]}}", entry("a")),
            "the entries and the items of `servers` differ",
        ),
        ("a comma too many", list(1, true, &[entry("a"), String::new()]), "trailing comma"),
        (
            "truncated within an entry",
            format!("{{\"version\":1,\"servers\":[{}\n\n", &entry("a")[..20]),
            "it is truncated",
        ),
        ("over its bound", list(1, true, &vec![entry("a"); 120]), "it is too long"),
        (
            "over its bound, and never ends",
            "{\"servers\":[".to_string() + &names(200).join(","),
            "it is too long",
        ),
        ("an entry over the buffer", list(1, true, &[entry(&long)]), "it is too long"),
        ("a text over the buffer", format!("{{\"version\":1,\"a\":\"{long}"), "it is too long"),
        ("a delta over the bound", list(1, false, &names(9)), "9 changes at once, at most 8"),
    ] {
        for step in [1, 7, 500] {
            let (lists, error, _) = parse(BOUNDS, &text, step);
            let error = error.unwrap_or_else(|| panic!("{case} by {step} is accepted: {lists:?}"));
            assert!(
                lists.is_empty() && error.starts_with("invalid endpoint list: ") && error.contains(expected),
                "{case}: {error}"
            );
        }
    }
}

/// The other entries are only counted, so that a list over the bound needs no more memory.
#[test]
fn of_a_snapshot_over_the_bound_the_entries_that_the_node_prefers_are_returned() {
    let texts: Vec<String> = (0..40).map(|number| entry(&format!("s-{number}"))).collect();
    let (lists, error, _) = parse(BOUNDS, &list(1, true, &texts), 100);
    assert!(error.is_none(), "{error:?}");
    let retention = Retention::for_node("n0");
    let all: Vec<EndpointEntry> = texts.iter().map(|text| serde_json::from_str(text).unwrap()).collect();
    let ranks: Vec<Rank> = all.iter().map(|entry| retention::rank(&retention, entry)).collect();
    let chosen = Retention::choose(&ranks, BOUNDS.max_entries);
    let expected: Vec<EndpointEntry> =
        all.into_iter().zip(chosen).filter_map(|(entry, is_chosen)| is_chosen.then_some(entry)).collect();
    assert_eq!((&lists[0].entries, lists[0].dropped_entries), (&expected, 32));
}
