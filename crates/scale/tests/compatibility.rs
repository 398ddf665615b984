//! Compatibility with the rows of an earlier release (commit cc67128), which must stay readable.
use troutknot_scale::row::read_rows;

#[test]
fn rows_of_an_earlier_release_are_read_and_written_unchanged() {
    let text = include_str!("fixtures/rows.jsonl");
    let rows = read_rows(text.as_bytes()).unwrap();
    let again: String = rows.iter().map(|row| format!("{row}\n")).collect();
    assert_eq!(again, text);
}
