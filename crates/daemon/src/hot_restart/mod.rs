//! Two processes that are one node while one follows the other. The newer asks the older over a Unix socket in
//! `$TMPDIR` and takes over what it is told; from then on each tells the other what changes. Only where the
//! platform passes the clients' socket on.
pub mod codec;
pub mod inherited_socket;

use crate::config::limits::Limits;
use crate::downstream::DownstreamServer;
use crate::event::{CallOrigin, NodeEvent};
use crate::lifecycle::{Lifecycle, LifecycleState, Shutdown};
use crate::upstream::ExecutorPool;
use codec::{Bounds, Inherited, Message, Usage};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long a newer process waits to be told everything, of the six seconds that it has to be ready.
const ASK_WAIT: Duration = Duration::from_millis(4500);
/// A process that takes no message for so long is given up.
const SAY_WAIT: Duration = Duration::from_secs(2);
/// How often each says what it holds.
const HOLDS_EVERY: Duration = Duration::from_millis(40);
/// Messages that may wait to be written; one that is further behind is given up.
const QUEUE: usize = 8192;

/// The other process of this node, as far as there is one.
#[derive(Default)]
pub struct SiblingProcess {
    link: RefCell<Option<mpsc::Sender<Message>>>,
    /// Who waits until what was asked for holds at the other one.
    waiting: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    next: Cell<u64>,
    /// What the other one has open.
    other: Cell<Usage>,
}

impl SiblingProcess {
    pub fn other(&self) -> Usage {
        self.other.get()
    }

    /// Tells the other process, where there is one.
    pub fn say(&self, message: Message) {
        let kept = self.link.borrow().as_ref().is_none_or(|link| link.try_send(message).is_ok());
        if !kept {
            tracing::warn!("the other process is too far behind, it is given up");
            self.unlink();
        }
    }

    /// Announces a request that this process has admitted, by the token of its id, so that the sibling rejects
    /// a duplicate.
    pub fn announce_request(&self, token: u64) {
        self.say(Message::Ids { ids: vec![token] });
    }

    /// Has the other process do the same; who waits hears once it holds there, or there is none any more.
    pub fn mirror(&self, message: impl FnOnce(u64) -> Message, done: oneshot::Sender<bool>) {
        if self.link.borrow().is_none() {
            let _ = done.send(true);
            return;
        }
        let number = self.next.get() + 1;
        self.next.set(number);
        self.waiting.borrow_mut().insert(number, done);
        self.say(message(number));
    }

    fn done(&self, number: u64) {
        if let Some(done) = self.waiting.borrow_mut().remove(&number) {
            let _ = done.send(true);
        }
    }

    fn unlink(&self) {
        self.link.replace(None);
        self.other.set(Usage::default());
        self.waiting.borrow_mut().drain().for_each(|(_, done)| _ = done.send(true));
    }
}

/// A connection to the other process.
pub struct Link {
    read: BufReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

impl Link {
    /// Guards against strangers: only processes of the same user are listened to.
    fn new(stream: UnixStream) -> io::Result<Self> {
        if stream.peer_cred()?.uid() != rustix::process::geteuid().as_raw() {
            return Err(io::Error::other("it is another user's"));
        }
        let (read, write) = stream.into_split();
        Ok(Link { read: BufReader::new(read), write })
    }

    async fn say(&mut self, message: &Message) -> io::Result<()> {
        say(&mut self.write, message).await
    }

    async fn next(&mut self) -> Result<Message, String> {
        next(&mut self.read).await
    }
}

async fn say(write: &mut OwnedWriteHalf, message: &Message) -> io::Result<()> {
    let line = codec::write(message);
    timeout(SAY_WAIT, write.write_all(&line)).await.map_err(|_| io::ErrorKind::TimedOut)?
}

async fn next(read: &mut BufReader<OwnedReadHalf>) -> Result<Message, String> {
    let mut line = Vec::new();
    let most = codec::MAX_LINE_BYTES as u64;
    read.take(most).read_until(b'\n', &mut line).await.map_err(|e| e.to_string())?;
    match line.last() {
        Some(b'\n') => codec::read(&line).map_err(|error| error.to_string()),
        _ if line.len() as u64 == most => Err("a line is too long".into()),
        _ => Err("it ended".into()),
    }
}

/// Where processes of this node meet; none where the environment names no folder for it.
pub fn meeting_place(name: &str) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
    if folder.is_none() {
        tracing::warn!("TMPDIR is not set: nothing is handed over from one process to the next");
    }
    Some(Path::new(&folder?).join(format!("troutknot-{:016x}.sock", troutknot_membership::token(name))))
}

/// Asks the process that runs, if one does, for what this one begins with. What cannot be taken over is one line
/// in the log, and the node starts from its configuration.
pub async fn ask(place: &Path, name: &str, bounds: Bounds) -> Option<(Inherited, Link)> {
    let stream = match UnixStream::connect(place).await {
        Ok(stream) => stream,
        Err(e) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
            tracing::info!("no process of this node runs yet");
            return None;
        }
        Err(e) => {
            tracing::warn!("nothing is handed over, the start is from the configuration: {e}");
            return None;
        }
    };
    let told = async {
        let mut link = Link::new(stream).map_err(|e| e.to_string())?;
        let hello = Message::Hello { form: codec::FORM, name: name.to_string() };
        link.say(&hello).await.map_err(|e| e.to_string())?;
        let mut inherited = Inherited::default();
        while !inherited.take(link.next().await?, name, bounds).map_err(|error| error.to_string())? {}
        Ok((inherited, link))
    };
    let told = timeout(ASK_WAIT, told).await.unwrap_or_else(|_| Err("it says nothing".to_string()));
    let why = |why: &String| {
        tracing::warn!("nothing is handed over, the start is from the configuration: {why}");
    };
    let (inherited, link) = told.inspect_err(why).ok()?;
    tracing::info!(
        "taken over: {} executors listed, {} of them out by hand, {} ids, drained {}",
        inherited.entries.len(),
        inherited.excluded.len(),
        inherited.ids.len(),
        inherited.is_drained
    );
    Some((inherited, link))
}

/// One process of a node, and what it needs to be one node with another.
pub struct Takeover {
    pub name: String,
    pub place: PathBuf,
    pub beside: Rc<SiblingProcess>,
    pub limits: Rc<Limits>,
    pub events: mpsc::Sender<NodeEvent>,
    pub lifecycle: Rc<Lifecycle>,
    pub clients: Rc<DownstreamServer>,
    pub executors: Rc<ExecutorPool>,
    /// Where a next process asks, once the one before this one leaves.
    pub bound: RefCell<Option<UnixListener>>,
}

impl Takeover {
    /// Goes on with the process before this one, if there is one, then waits for the one after it.
    pub async fn run(self: Rc<Self>, older: Option<Link>) {
        if let Some(link) = older {
            spawn_local(self.clone().say_ready());
            self.go_on(link, false).await;
        }
        let bound = self.bound.take();
        let listener = match bound.map_or_else(|| self.bind(), Ok) {
            Ok(listener) => listener,
            Err(e) => return tracing::warn!("nothing can be handed over to a next process: {e}"),
        };
        let mut stage = self.lifecycle.watch();
        let (lifecycle, place) = (self.lifecycle.clone(), self.place.clone());
        let ends = |_: &LifecycleState| lifecycle.facts().shutdown != Shutdown::None;
        loop {
            let stream = tokio::select! {
                biased;
                _ = stage.wait_for(ends) => break,
                accepted = listener.accept() => accepted,
            };
            match stream.and_then(|(stream, _)| Link::new(stream)) {
                Ok(link) => self.clone().newer(link).await,
                Err(e) => {
                    tracing::warn!("no next process: {e}");
                    sleep(HOLDS_EVERY).await;
                }
            }
        }
        let _ = std::fs::remove_file(place);
    }

    fn bind(&self) -> io::Result<UnixListener> {
        // What lies there is of a process that is dead, or has just said that it leaves.
        let _ = std::fs::remove_file(&self.place);
        UnixListener::bind(&self.place)
    }

    /// The newer process says when it takes clients.
    async fn say_ready(self: Rc<Self>) {
        let mut stage = self.lifecycle.watch();
        if stage.wait_for(|stage| *stage != LifecycleState::Starting).await.is_ok() {
            self.beside.say(Message::Ready);
        }
    }

    /// A newer process asks: it is told all, then what changes.
    async fn newer(self: Rc<Self>, mut link: Link) {
        let hello = timeout(SAY_WAIT, link.next()).await;
        match hello {
            Ok(Ok(Message::Hello { name, .. })) if name == self.name => {}
            _ => return tracing::warn!("what asked to be told is no process of this node"),
        }
        tracing::info!("a next process has started, it is told what this one knows");
        self.go_on(link, true).await;
        self.lifecycle.update(|facts| facts.has_yielded = false);
        if self.lifecycle.facts().shutdown == Shutdown::None {
            tracing::warn!("the next process has ended, this one goes on");
        }
    }

    /// Tells and is told until the other process ends or is given up. The older one begins with all it knows.
    async fn go_on(self: &Rc<Self>, link: Link, older: bool) {
        let (say_it, to_say) = mpsc::channel(QUEUE);
        self.beside.link.replace(Some(say_it));
        let _ = self.events.send(NodeEvent::SiblingChanged(true)).await;
        if older {
            self.beside.say(Message::Hello { form: codec::FORM, name: self.name.clone() });
            let ids = self.clients.recent_request_ids();
            codec::in_lines(&ids, |ids| Message::Ids { ids }).into_iter().for_each(|m| self.beside.say(m));
            // The rest is the driver's to tell, in order with what changes.
            let _ = self.events.send(NodeEvent::ExportState).await;
        }
        let Link { mut read, write } = link;
        let (said, heard, holds) =
            (write_all(to_say, write), self.hear_all(&mut read, older), self.say_holds());
        let leaving = async {
            if older {
                let mut stage = self.lifecycle.watch();
                let ends = |_: &LifecycleState| self.lifecycle.facts().shutdown != Shutdown::None;
                if stage.wait_for(ends).await.is_ok() {
                    // The next process is the one that a further one asks.
                    let _ = std::fs::remove_file(&self.place);
                    self.beside.say(Message::Leaving);
                }
            }
            std::future::pending::<()>().await
        };
        let why = tokio::select! {
            why = said => why,
            why = heard => why,
            () = holds => "no more to say".into(),
            () = leaving => "it leaves".into(),
        };
        tracing::debug!("the other process is gone: {why}");
        self.beside.unlink();
        // What it held has gone with it, however it ended.
        self.set_sibling_usage(Usage::default());
        let _ = self.events.send(NodeEvent::SiblingChanged(false)).await;
    }

    fn set_sibling_usage(&self, usage: Usage) {
        self.clients.request_bytes.set_used_by_sibling(usage.bytes);
        self.clients.ring_bytes.set_used_by_sibling(usage.rings);
        self.clients.slow_body_bytes.set_used_by_sibling(usage.slow_bodies);
    }

    async fn say_holds(&self) {
        let mut told = Usage::default();
        loop {
            let holds = Usage {
                clients: self.clients.connection_count(),
                executors: self.executors.connection_count(),
                bytes: self.clients.request_bytes.used(),
                rings: self.clients.ring_bytes.used(),
                slow_bodies: self.clients.slow_body_bytes.used(),
            };
            if holds != told {
                told = holds;
                self.beside.say(Message::Usage(holds));
            }
            sleep(HOLDS_EVERY).await;
        }
    }

    async fn hear_all(self: &Rc<Self>, read: &mut BufReader<OwnedReadHalf>, older: bool) -> String {
        loop {
            match next(read).await {
                Err(why) => return why,
                Ok(message) => {
                    if self.hear(message, older).await.is_err() {
                        return "the node ends".into();
                    }
                }
            }
        }
    }

    async fn hear(self: &Rc<Self>, message: Message, older: bool) -> Result<(), ()> {
        match message {
            Message::SetExcluded { executor, is_excluded, number } => {
                let event =
                    NodeEvent::SetExcluded { executor, is_excluded, origin: CallOrigin::Sibling(number) };
                self.events.send(event).await.map_err(|_| ())?;
            }
            Message::Drained { drained, number } => {
                crate::admin::drain(&self.lifecycle, self.limits.admin.drain_settle_time, drained, true);
                self.beside.say(Message::Acknowledged { number });
            }
            Message::Acknowledged { number } => self.beside.done(number),
            Message::Ids { ids } => self.clients.record_sibling_requests(&ids),
            Message::Usage(holds) => {
                self.beside.other.set(holds);
                self.set_sibling_usage(holds);
            }
            Message::Ready if older => {
                tracing::info!("the next process takes clients from now on");
                self.lifecycle.update(|facts| facts.has_yielded = true);
            }
            Message::Leaving if !older => {
                tracing::info!("the process before this one was asked to end");
                self.bound.replace(self.bind().ok());
            }
            _ => {}
        }
        Ok(())
    }
}

async fn write_all(mut to_say: mpsc::Receiver<Message>, mut write: OwnedWriteHalf) -> String {
    while let Some(message) = to_say.recv().await {
        if let Err(e) = say(&mut write, &message).await {
            return e.to_string();
        }
    }
    "it was given up".into()
}
