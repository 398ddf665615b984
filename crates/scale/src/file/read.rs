//! Reads a scale file in spite of its faults, so that all of them are found.
use super::ScaleFile;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use troutknot_rehearsal::diagnostics::{Diagnostic, line_at};

/// Faults of one file that are looked for; the rest of a file that is no scale file at all is not of use.
const MOST_FAULTS: usize = 200;

/// Each statement that cannot be read is a fault and is left out, so that the
/// next one is found, too. Nothing is read of what is no TOML.
pub(super) fn read_around_faults(text: &str) -> (Option<ScaleFile>, Vec<Diagnostic>) {
    let (_, broken) = DeTable::parse_recoverable(text);
    if !broken.is_empty() {
        return (None, broken.iter().map(|error| Diagnostic::from_toml(error, text)).collect());
    }
    let mut rest = text.to_string();
    let mut faults = Vec::new();
    while faults.len() < MOST_FAULTS {
        let error = match toml::from_str(&rest) {
            Ok(scale) => return (Some(scale), faults),
            Err(error) => error,
        };
        faults.push(Diagnostic::from_toml(&error, &rest));
        let Some(statement) = error.span().and_then(|span| statement_at(&rest, span.start)) else { break };
        blank(&mut rest, statement);
    }
    (None, faults)
}

/// The bytes of the key and value, or of the whole section, that hold a byte.
fn statement_at(text: &str, at: usize) -> Option<Range<usize>> {
    let line_start = text[..at].rfind('\n').map_or(0, |end| end + 1);
    if text[line_start..].trim_start().starts_with('[') && line_at(text, at) == line_at(text, line_start) {
        let tables = DeTable::parse(text).ok()?;
        if pair_at(tables.get_ref(), text, at).is_none() {
            let next = text[at..].find("\n[").map_or(text.len(), |next| at + next);
            return Some(line_start..next);
        }
    }
    let tables = DeTable::parse(text).ok()?;
    pair_at(tables.get_ref(), text, at)
}

/// The key and value in the innermost section that hold a byte.
fn pair_at(table: &DeTable, text: &str, at: usize) -> Option<Range<usize>> {
    table.iter().find_map(|(key, value)| {
        let is_inline = |span: &Range<usize>| text[span.start..].starts_with(['{', '"', '\'']);
        match value.get_ref() {
            DeValue::Table(inner) if !is_inline(&value.span()) => pair_at(inner, text, at),
            DeValue::Array(inner) if inner.iter().any(|item| text[item.span().start..].starts_with("[[")) => {
                inner.iter().find_map(|item| pair_at(item.get_ref().as_table()?, text, at))
            }
            _ => {
                let pair = key.span().start..value.span().end;
                pair.contains(&at).then_some(pair)
            }
        }
    })
}

/// Puts blanks for a part of a text, so that all other bytes and lines stay where they are.
fn blank(text: &mut String, part: Range<usize>) {
    let blanks: String = text[part.clone()]
        .chars()
        .flat_map(|c| match c {
            '\n' => vec!['\n'],
            other => vec![' '; other.len_utf8()],
        })
        .collect();
    text.replace_range(part, &blanks);
}
