//! Reads lists as they come, each a JSON object over one line or several, with empty lines between them.
//!
//! Each byte is looked at once, where a parser would begin anew with each piece. Entries are taken as soon as they
//! are whole, so a list of many thousands is never held as text. Without I/O.
use crate::protocol::{EndpointEntry, EndpointList};
use crate::retention;
use bytes::{Buf, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use troutknot_membership::{Rank, Retention};

/// Stands in the rest of a list where an entry was taken out.
const TAKEN: &str = "0";

/// Entries of a list of changes; one with more is taken to be as long as the list before.
const FEW: usize = 64;

/// How much a reader takes and holds.
#[derive(Clone, Copy, Debug)]
pub struct ReadBounds {
    /// Of one list, in bytes.
    pub list: usize,
    /// Of what is held as text, in bytes.
    pub text: usize,
    /// Of entries in one list; of a whole list with more, those that this node would keep first are taken.
    pub entries: usize,
}

pub struct EndpointListParser {
    bounds: ReadBounds,
    retention: Retention,
    text: BytesMut,
    /// So much of the text has been looked at; there the object is so deep, inside a string, after a backslash.
    seen: usize,
    deep: u32,
    quoted: bool,
    escaped: bool,
    /// What stands on the line so far is only white space.
    blank: bool,
    /// Of the list that has begun: its bytes so far, itself without its entries, and these.
    length: usize,
    rest: Vec<u8>,
    entries: Vec<EndpointEntry>,
    /// How many the list before had.
    entries_before: usize,
    /// Entries that were cut for the bound.
    beyond: usize,
}

/// A list without its entries: [`TAKEN`] for each, or the text of one that could not be read.
#[derive(Deserialize)]
struct Rest<'a> {
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(borrow)]
    servers: Vec<&'a RawValue>,
}

/// Why a list over its length is none.
pub fn too_long() -> String {
    "garbage: a list is too long".into()
}

impl EndpointListParser {
    pub fn new(bounds: ReadBounds, retention: Retention) -> Self {
        EndpointListParser {
            bounds,
            retention,
            text: BytesMut::new(),
            seen: 0,
            deep: 0,
            quoted: false,
            escaped: false,
            blank: false,
            length: 0,
            rest: Vec::new(),
            entries: Vec::new(),
            entries_before: 0,
            beyond: 0,
        }
    }

    /// Whether an object has begun and not ended.
    pub fn is_inside(&self) -> bool {
        self.deep > 0
    }

    pub fn push(&mut self, bytes: BytesMut) {
        self.text.unsplit(bytes);
    }

    /// The next whole list.
    ///
    /// # Errors
    /// What is no list, is cut short, or is over its bounds.
    pub fn next(&mut self) -> Result<Option<EndpointList>, String> {
        while let Some(&byte) = self.text.get(self.seen) {
            self.seen += 1;
            self.length += 1;
            if self.look_at(byte)? {
                return self.list().map(Some);
            }
            self.blank = byte == b'\n' || (self.blank && byte.is_ascii_whitespace());
        }
        if self.length > self.bounds.list || self.rest.len() + self.text.len() > self.bounds.text {
            return Err(too_long());
        }
        Ok(None)
    }

    /// Takes the byte at which the text has been looked at last; true with the end of a list.
    fn look_at(&mut self, byte: u8) -> Result<bool, String> {
        // What stands in the list beside its entries.
        let is_rest = self.deep == 1;
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.quoted => self.escaped = true,
            b'"' if self.deep > 0 => self.quoted = !self.quoted,
            // A sign of life inside an object says that the rest of it never comes.
            b'\n' if self.deep > 0 && self.blank => return Err("garbage: a list is cut".into()),
            _ if self.quoted => {}
            b'{' if self.deep == 0 => {
                self.begin();
                return Ok(false);
            }
            b'{' => {
                self.deep += 1;
                return Ok(false);
            }
            b'}' if self.deep > 1 => {
                self.deep -= 1;
                if self.deep == 1 {
                    self.take_entry()?;
                }
                return Ok(false);
            }
            b'}' if self.deep == 1 => {
                self.deep = 0;
                self.drop_seen();
                self.rest.push(byte);
                return Ok(true);
            }
            _ if self.deep == 0 && byte.is_ascii_whitespace() => {
                self.drop_seen();
                return Ok(false);
            }
            _ if self.deep == 0 => return Err("garbage: no list".into()),
            _ => {}
        }
        if is_rest {
            self.drop_seen();
            if self.quoted || !byte.is_ascii_whitespace() {
                self.rest.push(byte);
            }
        }
        Ok(false)
    }

    fn drop_seen(&mut self) {
        self.text.advance(self.seen);
        self.seen = 0;
    }

    fn begin(&mut self) {
        (self.deep, self.length, self.beyond) = (1, 1, 0);
        self.entries.clear();
        self.rest.clear();
        self.rest.push(b'{');
        self.drop_seen();
    }

    /// Takes the entry out that has just ended. What is none stays where it stands, and counts only if it
    /// stands among the entries.
    fn take_entry(&mut self) -> Result<(), String> {
        let text = self.text.split_to(self.seen);
        self.seen = 0;
        if text.len() > self.bounds.text {
            return Err(too_long());
        }
        match serde_json::from_slice(&text) {
            Ok(entry) => {
                self.push_entry(entry);
                self.rest.extend_from_slice(TAKEN.as_bytes());
                // Now and then, as it takes time.
                if self.entries.len() > self.bounds.entries + self.bounds.entries / 4 {
                    self.cut();
                }
            }
            Err(_) => self.rest.extend_from_slice(&text),
        }
        Ok(())
    }

    fn push_entry(&mut self, entry: EndpointEntry) {
        if self.entries.len() == FEW {
            // Growing step by step would leave as much memory behind as a list takes.
            self.entries.reserve(self.entries_before.saturating_sub(FEW));
        }
        self.entries.push(entry);
    }

    /// Leaves so many entries as may be kept in mind.
    fn cut(&mut self) {
        let ranks: Vec<Rank> =
            self.entries.iter().map(|entry| retention::rank(&self.retention, entry)).collect();
        let mut chosen = Retention::choose(&ranks, self.bounds.entries).into_iter();
        self.entries.retain(|_| chosen.next() == Some(true));
        self.beyond += ranks.len() - self.entries.len();
    }

    /// The list that has just ended.
    fn list(&mut self) -> Result<EndpointList, String> {
        if self.length > self.bounds.list || self.rest.len() > self.bounds.text {
            return Err(too_long());
        }
        let garbage = |e: serde_json::Error| format!("garbage: {e}");
        let text = std::mem::take(&mut self.rest);
        let rest: Rest = serde_json::from_slice(&text).map_err(garbage)?;
        let mut taken = 0;
        for entry in &rest.servers {
            match entry.get() {
                TAKEN => taken += 1,
                bad => return Err(bad_entry(bad)),
            }
        }
        if taken != self.entries.len() + self.beyond {
            return Err("garbage: entries stand elsewhere than in `servers`".into());
        }
        self.cut();
        let most = self.bounds.entries;
        if !rest.full && self.beyond > 0 {
            return Err(format!("garbage: {taken} changes at once, at most {most} are taken"));
        }
        let entries = std::mem::take(&mut self.entries);
        self.entries_before = entries.len();
        Ok(EndpointList { version: rest.version, full: rest.full, entries, beyond: self.beyond })
    }
}

/// Why the text of an entry is none.
fn bad_entry(text: &str) -> String {
    match serde_json::from_str::<EndpointEntry>(text) {
        Err(e) => format!("garbage: {e} in an entry"),
        Ok(_) => "garbage: no entry".into(),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/endpoint_list_parser.rs"]
mod tests;
