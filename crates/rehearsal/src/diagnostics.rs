//! Diagnostics of an operator's TOML file: all errors at once, each with its line and the allowed values.
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;

/// One error in a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// The line number, from 1; 0 for an error without a line.
    pub line: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl Diagnostic {
    /// Converts an error of the TOML parser, with the line that it refers to.
    pub fn from_toml(error: &toml::de::Error, text: &str) -> Self {
        let line = error.span().map_or(0, |span| line_at(text, span.start));
        Diagnostic { line, message: error.message().trim().replace('\n', "; ") }
    }
}

/// The line number of a byte offset in a text, from 1.
pub fn line_at(text: &str, offset: usize) -> usize {
    text[..offset.min(text.len())].matches('\n').count() + 1
}

/// All errors of a file, formatted as one line each.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct Diagnostics {
    /// The file name that each line starts with.
    pub file: String,
    /// The errors in the order of their lines.
    pub entries: Vec<Diagnostic>,
}

impl fmt::Display for Diagnostics {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (index, Diagnostic { line, message }) in self.entries.iter().enumerate() {
            write!(f, "{}{}:{line}: {message}", if index > 0 { "\n" } else { "" }, self.file)?;
        }
        Ok(())
    }
}

/// Collects the errors of a TOML file and finds the lines of its keys.
pub struct Checker<'a> {
    text: &'a str,
    diagnostics: Vec<Diagnostic>,
    /// Lines of statements that could not be parsed; errors that follow from these are not reported.
    unparsed_lines: BTreeSet<usize>,
}

impl<'a> Checker<'a> {
    /// Creates a checker of a file's text without any errors yet.
    pub fn new(text: &'a str) -> Self {
        Checker { text, diagnostics: Vec::new(), unparsed_lines: BTreeSet::new() }
    }

    /// Returns the result of all checks.
    ///
    /// # Errors
    /// All reported errors, in the order of their lines.
    pub fn finish(mut self, file: &str) -> Result<(), Diagnostics> {
        if self.diagnostics.is_empty() {
            return Ok(());
        }
        self.diagnostics.sort_by_key(|diagnostic| diagnostic.line);
        Err(Diagnostics { file: file.into(), entries: self.diagnostics })
    }

    /// Reports a statement that could not be parsed.
    pub fn report_unparsed(&mut self, diagnostic: Diagnostic) {
        self.unparsed_lines.insert(diagnostic.line);
        self.diagnostics.push(diagnostic);
    }

    /// Reports an error at a key of the section that starts at `section`, or at the section's first line if the key
    /// is absent.
    pub fn report(&mut self, section: &Range<usize>, key: &str, message: String) {
        let start = section.start.min(self.text.len());
        let rest = &self.text[start..];
        let mut line_start = start;
        let mut key_start = start;
        for (index, line) in rest.split_inclusive('\n').enumerate() {
            if index > 0 && line.trim_start().starts_with('[') {
                break;
            }
            if line.trim_start().strip_prefix(key).is_some_and(|rest| rest.trim_start().starts_with('=')) {
                key_start = line_start;
                break;
            }
            line_start += line.len();
        }
        let line = line_at(self.text, key_start);
        if !self.unparsed_lines.contains(&line) {
            self.diagnostics.push(Diagnostic { line, message });
        }
    }

    /// Finds the section with a header; the start of the file if there is none.
    pub fn section(&self, header: &str) -> Range<usize> {
        let at = self.text.find(&format!("[{header}]")).unwrap_or(0);
        at..at
    }

    /// Reports a number outside its allowed range; both ends are allowed.
    pub fn check_range(&mut self, section: &Range<usize>, key: &str, value: f64, allowed: Range<f64>) {
        if !(allowed.start..=allowed.end).contains(&value) {
            let message = format!("`{key}` is {value}; {} to {} is allowed", allowed.start, allowed.end);
            self.report(section, key, message);
        }
    }
}
