//! What two processes of one node tell each other while both run: one JSON object a line. Without I/O.
//!
//! The first line of each side is [`Message::Hello`] with the number of the form. A message that is not known is
//! skipped, so a later release may say more in the same form; one that says something otherwise has another form.
use crate::words::Entry;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use troutknot::Millis;

/// The form that this release speaks.
pub const FORM: u32 = 1;

/// The longest line, and how many of anything go into one.
pub const MOST_LINE: usize = 256 * 1024;
const A_LINE: usize = 200;

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(tag = "say", rename_all = "kebab-case")]
pub enum Message {
    /// The first of each side, by the node's name.
    Hello { form: u32, name: String },
    /// Executors that are out by hand.
    Out { executors: Vec<String> },
    /// Whether the node is drained by hand; the other one's word for it, to be answered by [`Message::Done`].
    Drained { drained: bool, number: u64 },
    /// Executors as the list says, a part of it, and its version where its source counts them.
    List { version: Option<u64>, entries: Vec<Entry> },
    /// Tokens of ids of work units that were taken lately.
    Ids { ids: Vec<u64> },
    /// What is known of executors.
    Executors { executors: Vec<Known> },
    /// And of work.
    Work(Work),
    /// The older one has told all that the newer one begins with.
    Told,
    /// The newer one takes clients from now on.
    Ready,
    /// An operator left an executor out, or let it serve again.
    LeaveOut { executor: String, out: bool, number: u64 },
    /// What the other one asked for under this number holds here.
    Done { number: u64 },
    /// What a process has open, of what both may have together.
    Holds(Holds),
    /// The older one was asked to end.
    Leaving,
    /// Of a later release.
    #[serde(other)]
    Other,
}

/// What is known of one executor; times are Unix times in milliseconds.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Known {
    pub id: String,
    pub failed: (f64, Millis),
    pub judged: (f64, Millis),
    pub slots: f64,
    /// What of its cold budget is out: when, and how many slot-milliseconds.
    pub cold_spent: Vec<(Millis, f64)>,
}

/// What is known of work: running times of project types by name, with how many were seen.
#[derive(Serialize, Deserialize, Clone, Debug, PartialEq, Default)]
pub struct Work {
    pub types: Vec<(String, Millis, f64)>,
    pub mean_run: Millis,
    pub waiting_share: Option<f64>,
    pub lag: Option<Millis>,
    pub draws: u32,
}

#[derive(Serialize, Deserialize, Clone, Copy, Debug, PartialEq, Default)]
pub struct Holds {
    pub clients: usize,
    pub executors: usize,
    pub bytes: usize,
    /// In clients' rings beyond their first size, and for bodies on their way; an earlier release says neither.
    #[serde(default)]
    pub rings: usize,
    #[serde(default)]
    pub slow_bodies: usize,
}

/// What does not fit into one line goes into several; at least one.
pub fn in_lines<T: Clone>(all: &[T], message: impl Fn(Vec<T>) -> Message) -> Vec<Message> {
    if all.is_empty() {
        return vec![message(Vec::new())];
    }
    all.chunks(A_LINE).map(|part| message(part.to_vec())).collect()
}

/// # Errors
/// One plain line that says why it is no message.
pub fn read(line: &[u8]) -> Result<Message, String> {
    serde_json::from_slice(line).map_err(|e| format!("no message of form {FORM}: {e}"))
}

pub fn write(message: &Message) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line
}

/// How much is taken over at most.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub known: usize,
    pub ids: usize,
}

/// What a process begins with that follows another.
#[derive(Default, Debug, PartialEq)]
pub struct Inherited {
    hello: bool,
    pub out: BTreeSet<String>,
    pub drained: bool,
    pub version: Option<u64>,
    pub entries: Vec<Entry>,
    pub ids: Vec<u64>,
    pub executors: Vec<Known>,
    pub work: Option<Work>,
}

impl Inherited {
    /// Takes the next message; true with the last.
    ///
    /// # Errors
    /// One plain line; nothing of what was told may then be used.
    pub fn take(&mut self, message: Message, name: &str, bounds: Bounds) -> Result<bool, String> {
        if !self.hello {
            return match message {
                Message::Hello { form, .. } if form > FORM => {
                    Err(format!("it speaks form {form}, this release {FORM}"))
                }
                Message::Hello { name: other, .. } if other != name => Err(format!("it is node `{other}`")),
                Message::Hello { .. } => {
                    self.hello = true;
                    Ok(false)
                }
                _ => Err("it does not say which form it speaks".into()),
            };
        }
        let number = |n: f64| match n.is_finite() && n >= 0.0 {
            true => Ok(()),
            false => Err(format!("{n} stands where a figure of 0 or more does")),
        };
        match message {
            Message::Out { executors } => self.out.extend(executors),
            Message::Drained { drained, .. } => self.drained = drained,
            Message::List { version, entries } => {
                self.version = version;
                self.entries.extend(entries);
            }
            Message::Ids { ids } => self.ids.extend(ids),
            Message::Executors { executors } => {
                for known in &executors {
                    let spent = known.cold_spent.iter().flat_map(|&(at, work)| [at, work]);
                    let one = [known.failed.0, known.failed.1, known.judged.0, known.judged.1, known.slots];
                    one.into_iter().chain(spent).try_for_each(number)?;
                }
                self.executors.extend(executors);
            }
            Message::Work(work) => {
                let of_types = work.types.iter().flat_map(|&(_, run, seen)| [run, seen]);
                let more = [Some(work.mean_run), work.waiting_share, work.lag].into_iter().flatten();
                of_types.chain(more).try_for_each(number)?;
                self.work = Some(work);
            }
            // What changed while it was telling.
            Message::LeaveOut { executor, out, .. } => {
                if out {
                    self.out.insert(executor);
                } else {
                    self.out.remove(&executor);
                }
            }
            Message::Told if self.work.is_none() => return Err("it tells nothing of work".into()),
            Message::Told => return Ok(true),
            _ => {}
        }
        let most = [(self.out.len(), bounds.known), (self.entries.len(), bounds.known)];
        let most =
            most.into_iter().chain([(self.ids.len(), bounds.ids), (self.executors.len(), bounds.known)]);
        match most.into_iter().find(|(is, most)| is > most) {
            Some((is, most)) => Err(format!("it tells {is} of something, at most {most} are kept in mind")),
            None => Ok(false),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOUNDS: Bounds = Bounds { known: 3, ids: 1000 };

    fn all(lines: &[&str]) -> Result<Option<Inherited>, String> {
        let mut inherited = Inherited::default();
        for line in lines {
            if inherited.take(read(line.as_bytes())?, "n0", BOUNDS)? {
                return Ok(Some(inherited));
            }
        }
        Ok(None)
    }

    const HELLO: &str = r#"{"say":"hello","form":1,"name":"n0"}"#;
    const TOLD: &str = r#"{"say":"told"}"#;

    /// As this release writes it: a later one must go on reading it.
    const FROZEN: &[&str] = &[
        HELLO,
        r#"{"say":"out","executors":["s-1","s-2"]}"#,
        r#"{"say":"drained","drained":true,"number":0}"#,
        r#"{"say":"list","version":7,"entries":[{"id":"s-1","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":0,"state":"Ready","weight":1.0,"started_ms":5.0}]}"#,
        r#"{"say":"ids","ids":[18446744073709551615,1]}"#,
        r#"{"say":"executors","executors":[{"id":"s-1","failed":[0.5,10.0],"judged":[2.0,10.0],"slots":4.0,"cold_spent":[[9.0,120.0]]}]}"#,
        r#"{"say":"work","types":[["render",120.0,31.0]],"mean_run":110.0,"waiting_share":0.1,"lag":1.5,"draws":2}"#,
        r#"{"say":"leave-out","executor":"s-2","out":false,"number":3}"#,
        TOLD,
    ];

    #[test]
    fn what_this_release_writes_stays_readable() {
        for line in FROZEN {
            let message = read(line.as_bytes()).unwrap();
            assert_eq!(String::from_utf8(write(&message)).unwrap().trim_end(), *line);
        }
        let inherited = all(FROZEN).unwrap().expect("all is told");
        assert_eq!((inherited.out, inherited.drained), (BTreeSet::from(["s-1".to_string()]), true));
        assert_eq!((inherited.version, inherited.entries.len(), inherited.ids.len()), (Some(7), 1, 2));
        assert_eq!((inherited.executors[0].slots, inherited.work.unwrap().draws), (4.0, 2));
    }

    #[test]
    fn what_is_cut_odd_or_of_another_form_is_not_taken() {
        let later = r#"{"say":"weather","rain":true}"#;
        assert!(all(&[HELLO, later, FROZEN[6], TOLD]).unwrap().is_some(), "more in the same form is skipped");
        let negative = FROZEN[6].replace("110.0", "-1.0");
        assert!(all(&FROZEN[..FROZEN.len() - 1]).unwrap().is_none(), "cut off before its end");
        let many = r#"{"say":"out","executors":["1","2","3","4"]}"#;
        for (lines, part) in [
            (&[TOLD][..], "which form"),
            (&[r#"{"say":"hello","form":2,"name":"n0"}"#], "it speaks form 2, this release 1"),
            (&[r#"{"say":"hello","form":1,"name":"n1"}"#], "it is node `n1`"),
            (&["GET / HTTP/1.1"], "no message"),
            (&[HELLO, &FROZEN[3][..40]], "no message"),
            (&[HELLO, r#"{"say":"ids","ids":[-1]}"#], "no message"),
            (&[HELLO, r#"{"say":"executors","executors":[{"id":"s-1"}]}"#], "no message"),
            (&[HELLO, TOLD], "nothing of work"),
            (&[HELLO, &negative], "-1 stands where"),
            (&[HELLO, many], "tells 4 of something, at most 3"),
        ] {
            let why = all(lines).expect_err(part);
            assert!(why.contains(part), "{why}");
        }
    }

    #[test]
    fn much_of_something_goes_into_several_lines_and_comes_out_whole() {
        let ids: Vec<u64> = (0..999).collect();
        let lines = in_lines(&ids, |ids| Message::Ids { ids });
        let mut inherited = Inherited::default();
        let hello = Message::Hello { form: FORM, name: "n0".into() };
        for message in [hello].into_iter().chain(lines) {
            let line = write(&message);
            assert!(line.len() < MOST_LINE);
            assert!(!inherited.take(read(&line).unwrap(), "n0", BOUNDS).unwrap());
        }
        assert_eq!(inherited.ids, ids);
        assert_eq!(in_lines(&[], |ids| Message::Ids { ids }), [Message::Ids { ids: Vec::new() }]);
    }
}
