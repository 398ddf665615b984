//! Where operators call: a listener of its own, where the configuration names one. Each connection is a task of
//! its own and carries one call, which is answered once what it asks for holds.
mod calls;

use crate::byte_budget::ByteBudget;
use crate::config::limits::Limits;
use crate::event::{CallOrigin, NodeEvent};
use crate::hot_restart::{codec::Message, sibling::SiblingProcess};
use crate::http1::{self, Connection, Failed};
use crate::lifecycle::{DrainOrigin, DrainRequest, Lifecycle, LifecycleState, Shutdown};
use crate::retention::RetentionStatistics;
use calls::{Call, UnknownCall};
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

pub struct AdminServer {
    limits: Rc<Limits>,
    events: mpsc::Sender<NodeEvent>,
    lifecycle: Rc<Lifecycle>,
    beside: Rc<SiblingProcess>,
    /// How many executors are listed, and what becomes of them.
    figures: Rc<Cell<RetentionStatistics>>,
    rings: Rc<ByteBudget>,
    /// Connections whose call is not whole, by their number, the longest first.
    waiting: RefCell<VecDeque<(u64, Rc<Notify>)>>,
    open: Cell<usize>,
    next: Cell<u64>,
}

type Answered = (u16, Cow<'static, str>);

const DONE: Answered = (200, Cow::Borrowed("done"));

impl AdminServer {
    pub fn new(
        limits: Rc<Limits>,
        events: mpsc::Sender<NodeEvent>,
        lifecycle: Rc<Lifecycle>,
        beside: Rc<SiblingProcess>,
        figures: Rc<Cell<RetentionStatistics>>,
    ) -> Rc<Self> {
        Rc::new(AdminServer {
            rings: ByteBudget::new(limits.admin.max_connections * 2 * limits.admin.buffer_bytes),
            limits,
            events,
            lifecycle,
            beside,
            figures,
            waiting: RefCell::default(),
            open: Cell::new(0),
            next: Cell::new(0),
        })
    }

    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.take(stream),
                Err(e) => {
                    tracing::warn!("cannot accept a call: {e}");
                    sleep(self.limits.downstream.min_new_connection_age).await;
                }
            }
        }
    }

    /// Serves a connection. Guards against callers that connect and say nothing: where there are too many,
    /// the one that is waited for longest is closed for the newcomer.
    fn take(self: &Rc<Self>, stream: TcpStream) {
        let (this, number, close) = (self.clone(), self.next.get(), Rc::new(Notify::new()));
        if self.open.get() >= self.limits.admin.max_connections {
            match self.waiting.borrow_mut().pop_front() {
                Some((_, longest)) => longest.notify_one(),
                // All of them are being answered, which takes less than a second.
                None => return,
            }
        }
        self.next.set(number + 1);
        self.open.set(self.open.get() + 1);
        self.waiting.borrow_mut().push_back((number, close.clone()));
        spawn_local(async move {
            let mut connection = Connection::new(stream, this.limits.admin.buffer_bytes, &this.rings);
            this.serve(&mut connection, number, &close).await;
            drop(connection);
            this.waits_no_more(number);
            this.open.set(this.open.get() - 1);
        });
    }

    fn waits_no_more(&self, number: u64) {
        self.waiting.borrow_mut().retain(|(waits, _)| *waits != number);
    }

    async fn serve(&self, connection: &mut Connection, number: u64, close: &Notify) {
        let due = Instant::now() + self.limits.downstream.io_timeout;
        let head = tokio::select! {
            biased;
            head = connection.request_head() => head,
            () = close.notified() => return,
            () = sleep_until(due) => return,
        };
        self.waits_no_more(number);
        let mut allow = None;
        let (status, said) = match head {
            Ok(None) | Err(Failed::Ended | Failed::Broken(_)) => return,
            Err(Failed::Bad(bad)) => (bad.status(), "the call cannot be read".into()),
            Ok(Some(head)) => match calls::call(&head.method, &head.target) {
                Ok(call) => {
                    let answered = self.answer(&call).await;
                    match &call {
                        Call::IsReady | Call::Executors => {}
                        call => tracing::info!("called: {call:?}, answered {} {}", answered.0, answered.1),
                    }
                    answered
                }
                Err(UnknownCall::UnknownPath) => (404, "there is no such call".into()),
                Err(UnknownCall::OddPath) => (400, "an executor has a name of 1 to 255 bytes".into()),
                Err(UnknownCall::WrongMethod(by)) => {
                    allow = Some(("Allow", by.to_string()));
                    (405, "the call is made by another method".into())
                }
            },
        };
        let fields: Vec<_> = allow.into_iter().collect();
        let said = format!("{said}\n");
        let head = http1::answer(status, said.len(), false, &fields);
        let written =
            timeout(self.limits.admin.call_timeout, connection.write(&[&head, said.as_bytes()])).await;
        if matches!(written, Ok(Ok(()))) {
            connection.end(self.limits.rest_of_message_timeout, self.limits.max_discarded_bytes).await;
        }
    }

    async fn answer(&self, call: &Call) -> Answered {
        match call {
            Call::IsReady if self.lifecycle.facts().is_ready() => (200, "ready".into()),
            Call::IsReady => (503, "not ready".into()),
            Call::Executors => (200, self.figures.get().to_string().into()),
            Call::Out { executor, out } => self.leave_out(executor, *out).await,
            Call::Drain(to_drain) => {
                if self.lifecycle.facts().shutdown != Shutdown::None {
                    return (503, "the node ends".into());
                }
                let request = if *to_drain { DrainRequest::Drain } else { DrainRequest::Resume };
                self.lifecycle.request_drain(
                    request,
                    DrainOrigin::Operator,
                    self.limits.admin.drain_settle_time,
                );
                let (done, holds) = oneshot::channel();
                let drained = |number| Message::Drained { drained: *to_drain, number };
                self.beside.mirror(drained, done);
                match timeout(self.limits.admin.call_timeout, holds).await {
                    Ok(Ok(_)) => DONE,
                    _ => (503, "the other process of this node does not answer".into()),
                }
            }
        }
    }

    async fn leave_out(&self, executor: &str, out: bool) -> Answered {
        let until = Instant::now() + self.limits.admin.call_timeout;
        // An executor may be known only once there is a list.
        let mut stage = self.lifecycle.watch();
        let _ = timeout_at(until, stage.wait_for(|stage| *stage != LifecycleState::Starting)).await;
        let (done, holds) = oneshot::channel();
        let event = NodeEvent::SetExcluded {
            executor: executor.to_string(),
            is_excluded: out,
            origin: CallOrigin::Operator(done),
        };
        let told = async {
            self.events.send(event).await.ok()?;
            holds.await.ok()
        };
        match timeout_at(until + self.limits.admin.call_timeout / 2, told).await {
            Ok(Some(true)) => DONE,
            Ok(Some(false)) => (404, "no such executor was ever listed".into()),
            _ => (503, "the node is too busy".into()),
        }
    }
}
