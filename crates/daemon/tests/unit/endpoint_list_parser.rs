//! Lists as they come over a connection: in any pieces, over their bounds, and odd.
use super::*;

const BOUNDS: ReadBounds = ReadBounds { list: 4096, text: 1024, entries: 8 };

fn reader(bounds: ReadBounds) -> EndpointListParser {
    EndpointListParser::new(bounds, Retention::of_node("n0"))
}

/// What comes out of a text in pieces of this size, and why it ends, if it is no list.
fn read(bounds: ReadBounds, text: &str, step: usize) -> (Vec<EndpointList>, Option<String>, bool) {
    let (mut reader, mut got) = (reader(bounds), Vec::new());
    for piece in text.as_bytes().chunks(step) {
        reader.push(BytesMut::from(piece));
        loop {
            match reader.next() {
                Ok(Some(list)) => got.push(list),
                Ok(None) => break,
                Err(why) => return (got, Some(why), reader.is_inside()),
            }
        }
    }
    (got, None, reader.is_inside())
}

fn entry(name: &str) -> String {
    format!("{{\"id\":\"{name}\",\"addr\":\"x\",\"state\":\"Ready\"}}")
}

fn list(version: u64, full: bool, entries: &[String]) -> String {
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}\n", entries.join(","))
}

#[test]
fn lists_come_over_one_line_or_several_and_in_any_pieces() {
    let one = "{\"version\":1,\"servers\":[]}";
    let nested = "{\"version\":2,\"more\":{\"a\":{}},\"servers\":[{\"id\":\"{\",\"state\":\"}\",\"b\":{}}]}";
    let indented = "{\n  \"servers\": [\n    {\"id\":\"a\",\n\"state\":\"Gone\"}\n  ],\n \"version\":3\n}\n";
    let quoted = "\t{\r\n\t\"a\": \"}\\\"{\\\\\",\r\n\"version\":4,\"full\":true,\r\n\"servers\":[]}\r\n";
    // Of each list its version, whether it is whole, and the names of its entries.
    type Expected<'a> = (u64, bool, &'a [&'a str]);
    let cases: &[(String, &[Expected], bool)] = &[
        (format!("{one}\n"), &[(1, false, &[])], true),
        (
            format!("\n\n {one}\n\n{nested}{one}\n"),
            &[(1, false, &[]), (2, false, &["{"]), (1, false, &[])],
            true,
        ),
        (indented.into(), &[(3, false, &["a"])], true),
        (quoted.into(), &[(4, true, &[])], true),
        (format!("{one}\nwhat\n"), &[(1, false, &[])], false),
        (format!("{one}}}\n"), &[(1, false, &[])], false),
        ("{\"version\":\n\n".into(), &[], false),
        ("{\"servers\":[{\"id\":\n \n".into(), &[], false),
        ("{\"a\n \n".into(), &[], false),
        ("[]".into(), &[], false),
    ];
    for (text, expected, ends_well) in cases {
        for step in 1..=text.len() {
            let (got, why, is_inside) = read(BOUNDS, text, step);
            let names = |list: &EndpointList| list.entries.iter().map(|entry| entry.id.to_string()).collect();
            let got: Vec<(u64, bool, Vec<String>)> =
                got.iter().map(|list| (list.version, list.full, names(list))).collect();
            let expected: Vec<(u64, bool, Vec<String>)> = expected
                .iter()
                .map(|(version, full, names)| {
                    (*version, *full, names.iter().map(|n| n.to_string()).collect())
                })
                .collect();
            assert_eq!((&got, why.is_none()), (&expected, *ends_well), "{text:?} by {step}: {why:?}");
            assert!(why.is_some() || !is_inside, "{text:?} by {step}");
        }
    }
}

/// Entries are read as a parser of the whole text would read them.
#[test]
fn entries_come_out_as_they_stand() {
    let full = r#"{"id":"s-1","addr":"10.1.0.18:3000","zone":"a","kind":"m2","cell":3,"state":"Ready","weight":0.5,"started_ms":7}"#;
    let escaped = r#"{"id":"s-\"2\"","state":"Gone","later":[{"x":"}"}]}"#;
    let text = list(9, true, &[full.into(), escaped.into()]);
    let expected: Vec<EndpointEntry> =
        [full, escaped].iter().map(|text| serde_json::from_str(text).unwrap()).collect();
    for step in 1..=text.len() {
        let (got, why, _) = read(BOUNDS, &text, step);
        assert!(why.is_none() && got.len() == 1, "{why:?}");
        assert_eq!((got[0].version, got[0].full, &got[0].entries), (9, true, &expected));
    }
}

#[test]
fn what_is_cut_odd_or_over_its_bounds_is_no_list() {
    let names = |count: usize| (0..count).map(|number| entry(&format!("s-{number}"))).collect::<Vec<_>>();
    let long = "x".repeat(1100);
    for (what, text, part) in [
        ("no version", "{\"servers\":[]}".to_string(), "missing field `version`"),
        ("no entries", "{\"version\":1}".into(), "missing field `servers`"),
        (
            "an entry without a state",
            list(1, true, &[entry("a"), "{\"id\":\"s-1\"}".into()]),
            "missing field `state`",
        ),
        ("an entry without a name", list(1, true, &["{\"state\":\"Ready\"}".into()]), "missing field `id`"),
        ("an odd entry", list(1, true, &["7".into()]), "in an entry"),
        ("a figure like the mark of an entry", list(1, true, &["0".into()]), "elsewhere"),
        (
            "entries elsewhere",
            format!("{{\"version\":1,\"others\":[{}],\"servers\":[]}}", entry("a")),
            "elsewhere",
        ),
        ("a comma too many", list(1, true, &[entry("a"), String::new()]), "garbage"),
        (
            "cut within an entry",
            format!("{{\"version\":1,\"servers\":[{}\n\n", &entry("a")[..20]),
            "a list is cut",
        ),
        ("over its length", list(1, true, &vec![entry("a"); 120]), "a list is too long"),
        (
            "over its length, and never ends",
            "{\"servers\":[".to_string() + &names(200).join(","),
            "a list is too long",
        ),
        ("an entry over what is held", list(1, true, &[entry(&long)]), "a list is too long"),
        ("a text over what is held", format!("{{\"version\":1,\"a\":\"{long}"), "a list is too long"),
        ("changes over their bound", list(1, false, &names(9)), "9 changes at once, at most 8"),
    ] {
        for step in [1, 7, 500] {
            let (got, why, _) = read(BOUNDS, &text, step);
            let why = why.unwrap_or_else(|| panic!("{what} by {step} is taken: {got:?}"));
            assert!(got.is_empty() && why.starts_with("garbage: ") && why.contains(part), "{what}: {why}");
        }
    }
}

/// It is cut to those that the node would keep first, and says how many others there are.
#[test]
fn of_a_whole_list_over_its_bound_the_first_of_this_node_are_taken() {
    let texts: Vec<String> = (0..40).map(|number| entry(&format!("s-{number}"))).collect();
    let (got, why, _) = read(BOUNDS, &list(1, true, &texts), 100);
    assert!(why.is_none(), "{why:?}");
    let retention = Retention::of_node("n0");
    let all: Vec<EndpointEntry> = texts.iter().map(|text| serde_json::from_str(text).unwrap()).collect();
    let ranks: Vec<Rank> = all.iter().map(|entry| retention::rank(&retention, entry)).collect();
    let chosen = Retention::choose(&ranks, BOUNDS.entries);
    let expected: Vec<EndpointEntry> =
        all.into_iter().zip(chosen).filter_map(|(entry, is_chosen)| is_chosen.then_some(entry)).collect();
    assert_eq!((&got[0].entries, got[0].beyond), (&expected, 32));
}
