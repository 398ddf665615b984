//! Follows the list of executors: one watch at a time, opened when the dispatcher asks for it.
use crate::events::Event;
use crate::held::HeldBytes;
use crate::http1::{Connection, Failed};
use crate::limits::Limits;
use crate::lists::Told;
use crate::words::{self, InForce, List, Vocabulary};
use bytes::BytesMut;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::timeout;
use troutknot::{Event as Heard, ListKind};

/// So many watches in a row must show an older list before it is taken for a new count of versions.
const OLD_LISTS: u32 = 3;

pub struct Follower {
    /// Where the list is followed; another address is followed at once.
    pub discovery: watch::Receiver<SocketAddr>,
    pub limits: Rc<Limits>,
    pub words: Rc<InForce<Vocabulary>>,
    pub told: Told,
    /// Asks for a watch.
    pub ask: Rc<Notify>,
}

/// Which of the versions that come are news.
#[derive(Default)]
struct Versions {
    known: Option<u64>,
    old: u32,
}

impl Versions {
    /// Guards against lists that repeat or are old: none of them may bring back an executor that drains. An
    /// older whole list that opens watch after watch is a new count of versions.
    fn take(&mut self, list: &List, first: bool) -> Option<ListKind> {
        let newer = self.known.is_none_or(|known| list.version > known);
        let same = first && list.full && self.known == Some(list.version);
        if !newer && !same {
            let older = first && list.full;
            self.old += u32::from(older);
            if !older || self.old < OLD_LISTS {
                return None;
            }
        }
        (self.known, self.old) = (Some(list.version), 0);
        Some(if list.full { ListKind::Whole } else { ListKind::Changes })
    }
}

impl Follower {
    /// Follows from the version that is known.
    pub async fn run(self, known: Option<u64>) {
        let mut versions = Versions { known, old: 0 };
        let (mut followed, mut moved) = (self.discovery.clone(), false);
        loop {
            if !moved {
                tokio::select! {
                    () = self.ask.notified() => {}
                    Ok(()) = followed.changed() => {}
                }
            }
            let discovery = *followed.borrow_and_update();
            let why = tokio::select! {
                biased;
                Ok(()) = followed.changed() => {
                    moved = true;
                    continue;
                }
                ended = self.watch(discovery, &mut versions) => {
                    ended.err().unwrap_or("it was ended".to_string())
                }
            };
            moved = false;
            tracing::warn!("watch of the list broke off: {why}");
            if self.told.event(Event::Heard(Heard::ListLost)).await.is_err() {
                return;
            }
        }
    }

    async fn watch(&self, discovery: SocketAddr, versions: &mut Versions) -> Result<(), String> {
        let silence = self.limits.list_silence;
        let silent = |_| "silent for too long".to_string();
        let stream = timeout(self.limits.times().connect_wait, TcpStream::connect(discovery)).await;
        let stream = stream.map_err(silent)?.map_err(|e| e.to_string())?;
        let mut connection = Connection::new(stream, self.limits.ring, &HeldBytes::new(2 * self.limits.ring));
        let ask = self.words.now().watch(discovery, versions.known);
        connection.write(&[ask.as_bytes()]).await.map_err(|e| e.to_string())?;
        let said = |e: Failed| e.to_string();
        let mut head = timeout(silence, connection.answer_head()).await.map_err(silent)?.map_err(said)?;
        if head.status != 200 {
            return Err(format!("status {}", head.status));
        }
        tracing::debug!("watch of the list stands");
        // The watch stands, even if the list follows late.
        let none = Heard::ListTold { kind: ListKind::Changes, entries: Vec::new() };
        self.told.event(Event::Heard(none)).await?;
        let (mut buffer, most, mut first) = (BytesMut::new(), self.limits.list_line, true);
        loop {
            let more = connection.body(&mut head.body, &mut buffer, most, true);
            let ended = timeout(silence, more).await.map_err(silent)?.map_err(said)?;
            while let Some(line) = words::next_line(&mut buffer, false) {
                let list: List = serde_json::from_slice(&line).map_err(|e| format!("garbage: {e}"))?;
                // Guards against a move to another address between the two: a version that counts as known
                // has been told.
                let told = self.told.room().await?;
                let news = versions.take(&list, first);
                first = false;
                if news.is_none() && !list.entries.is_empty() {
                    tracing::info!("list version {} is not new, passed over", list.version);
                }
                // That nothing has changed is word from the list as well.
                let (kind, entries) =
                    news.map_or((ListKind::Changes, Vec::new()), |kind| (kind, list.entries));
                told.send(self.told.list(kind, entries, versions.known));
            }
            if ended {
                return Ok(());
            }
        }
    }
}

#[test]
fn lists_that_repeat_or_are_old_are_passed_over() {
    use ListKind::{Changes, Whole};
    let mut versions = Versions { known: Some(10), old: 0 };
    for (version, full, first, expected) in [
        (10, true, true, Some(Whole)),
        (9, true, false, None),
        (10, false, false, None),
        (11, false, false, Some(Changes)),
        (11, true, false, None),
        (4, false, true, None),
        (4, true, true, None),
        (4, true, true, None),
        (4, true, true, Some(Whole)),
        (5, false, false, Some(Changes)),
    ] {
        let list = List { version, full, entries: Vec::new() };
        assert_eq!(versions.take(&list, first), expected, "{version} {full} {first}");
    }
}
