//! Follows the list of executors: one watch at a time, opened when the dispatcher asks for it.
use crate::byte_budget::ByteBudget;
use crate::config::limits::Limits;
use crate::discovery::parser::{self, EndpointListParser, ReadBounds};
use crate::discovery::{EndpointUpdate, EndpointUpdateSender};
use crate::event::{NodeEvent, WatchRequests};
use crate::http1::{Bad, Connection, Failed};
use crate::protocol::{Codec, Current, EndpointList};
use bytes::BytesMut;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};
use troutknot::{Event as CoreEvent, ListUpdate};
use troutknot_membership::Retention;

/// So many watches in a row must show an older list before it is taken for a new count of versions.
const OLD_LISTS: u32 = 3;

/// The part of the silence in which a source that showed an older list may catch up. After a move it is late by up to
/// 4 s, and must not bring back what drains: so long take the openings that make its count a new one.
const CATCH_UP: f64 = 0.8;

pub struct Follower {
    /// Where the list is followed; another address is followed at once.
    pub discovery: watch::Receiver<SocketAddr>,
    pub limits: Rc<Limits>,
    pub codec: Rc<Current<Codec>>,
    pub told: EndpointUpdateSender,
    /// Asks for a watch, or for one that begins with the whole list.
    pub ask: Rc<WatchRequests>,
    /// How this node chooses among more executors than it keeps.
    pub retention: Retention,
}

/// Why a watch broke off.
#[derive(Debug)]
struct Lost {
    why: String,
    /// Its source is there, and would not serve it.
    turned_away: bool,
}

impl From<String> for Lost {
    fn from(why: String) -> Self {
        Lost { why, turned_away: false }
    }
}

fn silent<E>(_: E) -> Lost {
    "silent for too long".to_string().into()
}

/// Which of the versions that come are news.
#[derive(Default)]
struct Versions {
    known: Option<u64>,
    old: u32,
    /// The whole list is to be told again, also if it is the one known.
    whole_wanted: bool,
}

impl Versions {
    /// Guards against lists that repeat or are old: none of them may bring back an executor that drains. An
    /// older whole list that opens watch after watch is a new count of versions.
    fn take(&mut self, list: &EndpointList, first: bool) -> Option<ListUpdate> {
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
        self.whole_wanted &= !list.full;
        Some(if list.full { ListUpdate::Snapshot } else { ListUpdate::Delta })
    }
}

impl Follower {
    fn reader(&self) -> EndpointListParser {
        let limits = &self.limits.discovery;
        EndpointListParser::new(
            ReadBounds {
                list: limits.max_list_bytes,
                text: limits.max_buffered_text_bytes,
                entries: self.limits.executor_bounds.max_listed,
            },
            self.retention,
        )
    }

    /// Follows from the version that is known.
    pub async fn run(self, known: Option<u64>) {
        let mut versions = Versions { known, ..Versions::default() };
        let (mut followed, mut moved) = (self.discovery.clone(), false);
        loop {
            if !moved {
                tokio::select! {
                    () = self.ask.changes.notified() => {}
                    Ok(()) = followed.changed() => {}
                }
            }
            let discovery = *followed.borrow_and_update();
            let Lost { why, turned_away } = tokio::select! {
                biased;
                Ok(()) = followed.changed() => {
                    moved = true;
                    continue;
                }
                () = self.ask.whole.notified() => {
                    (moved, versions.whole_wanted) = (true, true);
                    continue;
                }
                ended = self.watch(discovery, &mut versions) => {
                    ended.err().unwrap_or_else(|| "it was ended".to_string().into())
                }
            };
            moved = false;
            tracing::warn!("watch of the list broke off: {why}");
            if self
                .told
                .event(NodeEvent::Core(CoreEvent::EndpointWatchLost { is_rejected: turned_away }))
                .await
                .is_err()
            {
                return;
            }
        }
    }

    async fn watch(&self, discovery: SocketAddr, versions: &mut Versions) -> Result<(), Lost> {
        let silence = self.limits.discovery.watch_idle_timeout;
        let said = |e: Failed| e.to_string();
        // One time for all of it. Guards against a source that is silent again when it is asked anew: waits that
        // are bounded one by one add up past the span after which its silence counts as told.
        let opening = async {
            let stream = timeout(self.limits.timeouts().connect_timeout, TcpStream::connect(discovery)).await;
            let stream = stream.map_err(silent)?.map_err(|e| e.to_string())?;
            let mut connection = Connection::new(
                stream,
                self.limits.connection_buffer_bytes,
                &ByteBudget::new(2 * self.limits.connection_buffer_bytes),
            );
            let after = versions.known.filter(|_| !versions.whole_wanted);
            let ask = self.codec.now().watch(discovery, after);
            // Whoever takes a connection and ends it unserved is there.
            let turned_away = |why: String| Lost { why, turned_away: true };
            connection.write(&[ask.as_bytes()]).await.map_err(|e| turned_away(e.to_string()))?;
            let head = connection.answer_head().await.map_err(|e| turned_away(said(e)))?;
            Ok::<_, Lost>((connection, head))
        };
        let opened = timeout(self.limits.discovery.watch_open_timeout, opening).await;
        let (mut connection, mut head) = opened.map_err(silent)??;
        if head.status != 200 {
            return Err(Lost { why: format!("status {}", head.status), turned_away: true });
        }
        tracing::debug!("watch of the list stands");
        // The watch stands, even if the list follows late.
        let none = CoreEvent::EndpointsUpdated { update: ListUpdate::Delta, endpoints: Vec::new() };
        self.told.event(NodeEvent::Core(none)).await?;
        let (mut buffer, most, mut first) = (BytesMut::new(), self.limits.discovery.max_list_bytes, true);
        let (mut lists, mut due) = (self.reader(), Instant::now() + silence);
        // Guards against a source with another count of versions, that of a new address perhaps: passed over for as
        // long as its watch stands, it would never be followed. One that is only late has the time to catch up.
        let mut behind: Option<Instant> = None;
        loop {
            // News of the list, and nothing less, ends the wait. Guards against a list that drips.
            let more = connection.body_piece(&mut head.body, &mut buffer, most);
            let until = behind.map_or(due, |behind| behind.min(due));
            let ended = match timeout_at(until, more).await {
                Err(_) if until < due => {
                    return Err("its list is older than the one held".to_string().into());
                }
                more => more.map_err(silent)?.map_err(|e| match e {
                    Failed::Bad(Bad::BodyTooLarge) => parser::too_long(),
                    e => said(e),
                })?,
            };
            let ends_line = buffer.contains(&b'\n');
            lists.push(buffer.split());
            while let Some(list) = lists.next()? {
                due = Instant::now() + silence;
                // Guards against a move to another address between the two: a version that counts as known
                // has been told.
                let told = self.told.room().await?;
                let news = versions.take(&list, first);
                if news.is_some() {
                    behind = None;
                } else if first && list.full {
                    behind = Some(Instant::now() + silence.mul_f64(CATCH_UP));
                }
                first = false;
                if news.is_none() && !list.entries.is_empty() {
                    tracing::info!("list version {} is not new, passed over", list.version);
                }
                // That nothing has changed is word from the list as well.
                let mut news =
                    news.map_or_else(EndpointUpdate::nothing_new, |kind| EndpointUpdate::of(kind, list));
                news.version = versions.known;
                told.send(self.told.list(news));
            }
            if ends_line && !lists.is_inside() {
                // An empty line says that nothing has changed.
                due = Instant::now() + silence;
            }
            if ended {
                return Ok(());
            }
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/platform.rs"]
mod tests;
