//! Incremental parser of endpoint lists. A list is a JSON object over one or several lines; empty lines between lists
//! are keep-alives.
//!
//! Each byte is scanned once, and an entry is parsed as soon as its object is complete, so that a list of many
//! thousands of entries is never buffered as text. The parser performs no I/O.
use crate::protocol::{EndpointEntry, EndpointList};
use crate::retention;
use bytes::{Buf, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use troutknot_membership::{Rank, Retention};

/// Replaces each parsed entry in the text of the list.
const ENTRY_PLACEHOLDER: &str = "0";

/// For a list with more entries than this, memory is reserved for as many entries as the previous list had.
const MAX_SHORT_LIST_ENTRIES: usize = 64;

/// Entries above the bound are dropped once they exceed the bound divided by this number, because dropping takes a
/// pass over all entries.
const EXCESS_DIVISOR: usize = 4;

/// Why the bytes of a watch are not a valid endpoint list.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The list or the buffered text exceeds its maximum size.
    #[error("invalid endpoint list: it is too long")]
    TooLong,
    /// A keep-alive arrived inside a list.
    #[error("invalid endpoint list: it is truncated")]
    Truncated,
    /// The text between two lists is not white space.
    #[error("invalid endpoint list: it is not a JSON object")]
    NotAnObject,
    /// The list object, apart from its entries, cannot be parsed.
    #[error("invalid endpoint list: {0}")]
    Object(#[source] serde_json::Error),
    /// An entry cannot be parsed.
    #[error("invalid endpoint list: {0} in an entry")]
    Entry(#[source] serde_json::Error),
    /// An item of `servers` is not an object with the fields of an entry.
    #[error("invalid endpoint list: an item of `servers` is not an entry")]
    NotAnEntry,
    /// The number of parsed entries and the number of items of `servers` differ.
    #[error("invalid endpoint list: the entries and the items of `servers` differ")]
    MisplacedEntry,
    /// A delta has more entries than one list may have.
    #[error("invalid endpoint list: {count} changes at once, at most {max} are allowed")]
    TooManyChanges {
        /// Number of entries of the delta.
        count: usize,
        /// Maximum number of entries.
        max: usize,
    },
}

/// Bounds of the memory that a parser uses.
#[derive(Clone, Copy, Debug)]
pub struct ParseBounds {
    /// Maximum size of one list in bytes.
    pub max_list_bytes: usize,
    /// Maximum size of the buffered text in bytes.
    pub max_buffered_bytes: usize,
    /// Maximum number of entries of one list. Of a larger snapshot, the entries that this node ranks highest are
    /// returned.
    pub max_entries: usize,
}

/// An incremental parser of the endpoint lists of one watch.
pub struct EndpointListParser {
    bounds: ParseBounds,
    retention: Retention,
    buffer: BytesMut,
    /// Length of the scanned prefix of the buffer.
    scanned: usize,
    /// Nesting depth of objects at the scan position.
    depth: u32,
    is_in_string: bool,
    is_escaped: bool,
    /// Whether the current line contains only white space so far.
    is_blank_line: bool,
    /// Number of bytes scanned of the current list.
    list_bytes: usize,
    /// The text of the current list, with a placeholder in place of each entry.
    remainder: Vec<u8>,
    entries: Vec<EndpointEntry>,
    previous_entry_count: usize,
    /// Number of entries of the current list that were dropped because of the bound.
    dropped_entries: usize,
}

/// A list without its entries: each item is [`ENTRY_PLACEHOLDER`] or the text of an entry that cannot be parsed.
#[derive(Deserialize)]
struct Remainder<'a> {
    version: u64,
    #[serde(default, rename = "full")]
    is_snapshot: bool,
    #[serde(borrow, rename = "servers")]
    items: Vec<&'a RawValue>,
}

impl EndpointListParser {
    /// Creates a parser for one watch. If a snapshot has too many entries, `retention` ranks them.
    pub fn new(bounds: ParseBounds, retention: Retention) -> Self {
        EndpointListParser {
            bounds,
            retention,
            buffer: BytesMut::new(),
            scanned: 0,
            depth: 0,
            is_in_string: false,
            is_escaped: false,
            is_blank_line: false,
            list_bytes: 0,
            remainder: Vec::new(),
            entries: Vec::new(),
            previous_entry_count: 0,
            dropped_entries: 0,
        }
    }

    /// Whether the scan position is inside a list.
    pub fn is_inside_list(&self) -> bool {
        self.depth > 0
    }

    /// Appends bytes that were received.
    pub fn push(&mut self, bytes: BytesMut) {
        self.buffer.unsplit(bytes);
    }

    /// Returns the next complete list, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// If the bytes are not a list, or a list is truncated or exceeds a bound. The parser must not be used afterwards.
    pub fn next(&mut self) -> Result<Option<EndpointList>, ParseError> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            self.list_bytes += 1;
            let is_complete = self.scan(byte)?;
            if is_complete {
                return self.finish_list().map(Some);
            }
            self.is_blank_line = byte == b'\n' || (self.is_blank_line && byte.is_ascii_whitespace());
        }
        let buffered_bytes = self.remainder.len() + self.buffer.len();
        if self.list_bytes > self.bounds.max_list_bytes || buffered_bytes > self.bounds.max_buffered_bytes {
            return Err(ParseError::TooLong);
        }
        Ok(None)
    }

    /// Processes the last byte of the scanned prefix. Returns true if it ends a list.
    fn scan(&mut self, byte: u8) -> Result<bool, ParseError> {
        if self.depth == 0 {
            self.scan_between_lists(byte)?;
            return Ok(false);
        }
        match byte {
            _ if self.is_escaped => self.is_escaped = false,
            b'\\' if self.is_in_string => self.is_escaped = true,
            b'"' => self.is_in_string = !self.is_in_string,
            // The source sends keep-alives only between lists, so the rest of this list will not arrive.
            b'\n' if self.is_blank_line => return Err(ParseError::Truncated),
            _ if self.is_in_string => {}
            b'{' => {
                self.depth += 1;
                return Ok(false);
            }
            b'}' => return self.close_object(),
            _ => {}
        }
        if self.depth == 1 {
            self.discard_scanned();
            if self.is_in_string || !byte.is_ascii_whitespace() {
                self.remainder.push(byte);
            }
        }
        Ok(false)
    }

    fn scan_between_lists(&mut self, byte: u8) -> Result<(), ParseError> {
        match byte {
            b'{' => self.begin_list(),
            byte if byte.is_ascii_whitespace() => self.discard_scanned(),
            _ => return Err(ParseError::NotAnObject),
        }
        Ok(())
    }

    /// Handles the end of an object. Returns true if it is the list itself.
    fn close_object(&mut self) -> Result<bool, ParseError> {
        self.depth -= 1;
        match self.depth {
            0 => {
                self.discard_scanned();
                self.remainder.push(b'}');
                Ok(true)
            }
            1 => self.finish_entry().map(|()| false),
            _ => Ok(false),
        }
    }

    fn discard_scanned(&mut self) {
        self.buffer.advance(self.scanned);
        self.scanned = 0;
    }

    fn begin_list(&mut self) {
        self.depth = 1;
        self.list_bytes = 1;
        self.dropped_entries = 0;
        self.entries.clear();
        self.remainder.clear();
        self.remainder.push(b'{');
        self.discard_scanned();
    }

    /// Parses the object that has just ended. If it is not an entry, its text stays in the remainder, where it is an
    /// error only as an item of `servers`.
    fn finish_entry(&mut self) -> Result<(), ParseError> {
        let text = self.buffer.split_to(self.scanned);
        self.scanned = 0;
        if text.len() > self.bounds.max_buffered_bytes {
            return Err(ParseError::TooLong);
        }
        let Ok(entry) = serde_json::from_slice(&text) else {
            self.remainder.extend_from_slice(&text);
            return Ok(());
        };
        self.push_entry(entry);
        self.remainder.extend_from_slice(ENTRY_PLACEHOLDER.as_bytes());
        let max_entries = self.bounds.max_entries;
        if self.entries.len() > max_entries + max_entries / EXCESS_DIVISOR {
            self.drop_excess_entries();
        }
        Ok(())
    }

    fn push_entry(&mut self, entry: EndpointEntry) {
        if self.entries.len() == MAX_SHORT_LIST_ENTRIES {
            // Growing the vector in steps would leave as much memory fragmented as the list occupies.
            self.entries.reserve(self.previous_entry_count.saturating_sub(MAX_SHORT_LIST_ENTRIES));
        }
        self.entries.push(entry);
    }

    fn drop_excess_entries(&mut self) {
        let ranks: Vec<Rank> =
            self.entries.iter().map(|entry| retention::rank(&self.retention, entry)).collect();
        let mut is_retained = Retention::choose(&ranks, self.bounds.max_entries).into_iter();
        self.entries.retain(|_| is_retained.next() == Some(true));
        self.dropped_entries += ranks.len() - self.entries.len();
    }

    /// Builds the list that has just ended.
    fn finish_list(&mut self) -> Result<EndpointList, ParseError> {
        let text = std::mem::take(&mut self.remainder);
        if self.list_bytes > self.bounds.max_list_bytes || text.len() > self.bounds.max_buffered_bytes {
            return Err(ParseError::TooLong);
        }
        let remainder: Remainder = serde_json::from_slice(&text).map_err(ParseError::Object)?;
        if let Some(item) = remainder.items.iter().find(|item| item.get() != ENTRY_PLACEHOLDER) {
            return Err(invalid_entry(item.get()));
        }
        let count = remainder.items.len();
        if count != self.entries.len() + self.dropped_entries {
            return Err(ParseError::MisplacedEntry);
        }
        self.drop_excess_entries();
        if !remainder.is_snapshot && self.dropped_entries > 0 {
            return Err(ParseError::TooManyChanges { count, max: self.bounds.max_entries });
        }
        let entries = std::mem::take(&mut self.entries);
        self.previous_entry_count = entries.len();
        Ok(EndpointList {
            version: remainder.version,
            is_snapshot: remainder.is_snapshot,
            entries,
            dropped_entries: self.dropped_entries,
        })
    }
}

/// Determines why an item of `servers` is not an entry.
fn invalid_entry(text: &str) -> ParseError {
    match serde_json::from_str::<EndpointEntry>(text) {
        Err(error) => ParseError::Entry(error),
        Ok(_) => ParseError::NotAnEntry,
    }
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint_list_parser.rs"]
mod tests;
