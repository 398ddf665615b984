//! Rows of scale runs, as an earlier release wrote them (commit cc67128).
use troutknot_scale::row::read_rows;

#[test]
fn earlier_rows_are_read_and_written_as_before() {
    let text = include_str!("fixtures/rows.jsonl");
    let rows = read_rows(text.as_bytes()).unwrap();
    let again: String = rows.iter().map(|row| format!("{row}\n")).collect();
    assert_eq!(again, text);
}
