//! Parsing of a node's registry counts: a changed or incomplete text must not yield wrong counts.
use troutknot_scale::registry_counts::RegistryCounts;

#[test]
fn counts_are_parsed_from_the_text_of_a_node() {
    let counts = RegistryCounts { listed: 42_750, retained: 28_719, unretained: 14_031, bound: 28_719 };
    let text = "42750 listed, 28719 kept, 14031 left out, bound 28719\n";
    assert_eq!(RegistryCounts::parse(text), Some(counts));
}

#[test]
fn a_text_with_missing_or_extra_parts_is_not_parsed() {
    for text in [
        "",
        "no such call",
        "10 listed, 8 kept, 2 left out",
        "10 listed, 8 kept, bound 8",
        "10 listed, 8 kept, 2 left out, bound 8, 3 more",
        "10 listed, some kept, 2 left out, bound 8",
    ] {
        assert_eq!(RegistryCounts::parse(text), None, "{text}");
    }
}
