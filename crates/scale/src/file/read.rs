//! Parses a scale file with error recovery, so that all its errors are found.
use super::ScaleFile;
use std::ops::Range;
use toml::de::{DeTable, DeValue};
use troutknot_rehearsal::diagnostics::{Diagnostic, line_at};

/// Upper limit of the reported errors of one file; more are of no use, since such a file is hardly a scale file.
const MAX_FAULTS: usize = 200;

/// Parses a scale file. Each statement that cannot be read is reported and blanked out, so that the errors after it are
/// found too. Text that is not valid TOML gives its syntax errors only.
pub(super) fn parse_with_recovery(text: &str) -> (Option<ScaleFile>, Vec<Diagnostic>) {
    let (_, syntax_errors) = DeTable::parse_recoverable(text);
    if !syntax_errors.is_empty() {
        return (None, syntax_errors.iter().map(|error| Diagnostic::from_toml(error, text)).collect());
    }
    let mut remaining = text.to_string();
    let mut faults = Vec::new();
    while faults.len() < MAX_FAULTS {
        let error = match toml::from_str(&remaining) {
            Ok(scale) => return (Some(scale), faults),
            Err(error) => error,
        };
        faults.push(Diagnostic::from_toml(&error, &remaining));
        let Some(statement) = error.span().and_then(|span| statement_at(&remaining, span.start)) else {
            break;
        };
        blank(&mut remaining, statement);
    }
    (None, faults)
}

/// Returns the range of the key and value, or of the section, that contains a byte.
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

/// Returns the range of the key and value that contains a byte, in the innermost section.
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

/// Overwrites a part of a text with spaces, so that all other bytes and lines keep their positions.
fn blank(text: &mut String, range: Range<usize>) {
    let blanks: String = text[range.clone()]
        .chars()
        .flat_map(|character| match character {
            '\n' => vec!['\n'],
            other => vec![' '; other.len_utf8()],
        })
        .collect();
    text.replace_range(range, &blanks);
}
