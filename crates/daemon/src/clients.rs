//! The client side: accepts connections, takes work units in, and writes each its one final answer.
use crate::driver::Event;
use crate::exchange::{Answer, Exchange, HeldBytes};
use crate::http1::{self, Connection, Failed, RequestHead};
use crate::limits::Limits;
use crate::words::{READY_PATH, Vocabulary};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until, timeout};
use troutknot::WuId;

/// How far the node is on its way out.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Stage {
    Starting,
    Serving,
    /// Asked to end: all goes on, but no front should take it in.
    Leaving,
    /// Idle connections close, and each other one after its answer.
    Closing,
}

pub struct Clients {
    pub limits: Rc<Limits>,
    pub words: Rc<Vocabulary>,
    pub events: mpsc::Sender<Event>,
    pub stage: watch::Receiver<Stage>,
    held: Rc<HeldBytes>,
    /// Ids of open work units.
    ids: RefCell<HashSet<String>>,
    next_wu: Cell<u64>,
    next_connection: Cell<u64>,
    /// Connections by their number, with what closes each while it is idle.
    open: RefCell<HashMap<u64, Rc<Standing>>>,
    ended: Notify,
}

#[derive(Default)]
struct Standing {
    idle_since: Cell<Option<Instant>>,
    close: Notify,
}

/// Whether a connection goes on after an answer.
type Goes = bool;

impl Clients {
    pub fn new(
        limits: Rc<Limits>,
        words: Rc<Vocabulary>,
        events: mpsc::Sender<Event>,
        stage: watch::Receiver<Stage>,
    ) -> Rc<Self> {
        let held = HeldBytes::new(limits.held_bytes);
        Rc::new(Clients {
            limits,
            words,
            events,
            stage,
            held,
            ids: RefCell::default(),
            next_wu: Cell::new(0),
            next_connection: Cell::new(0),
            open: RefCell::default(),
            ended: Notify::new(),
        })
    }

    pub fn connections(&self) -> usize {
        self.open.borrow().len()
    }

    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            if self.connections() >= self.limits.clients + self.limits.turned_away {
                let _ = timeout(self.limits.client_settle, self.ended.notified()).await;
                self.close_longest_idle();
                continue;
            }
            match listener.accept().await {
                Ok((stream, _)) => self.take(stream),
                Err(e) => {
                    // Out of descriptors, or a connection that broke before it was taken.
                    tracing::warn!("cannot accept: {e}");
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    fn take(self: &Rc<Self>, stream: TcpStream) {
        let full = self.connections() >= self.limits.clients && !self.close_longest_idle();
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        let standing = Rc::new(Standing::default());
        self.open.borrow_mut().insert(number, standing.clone());
        let this = self.clone();
        tokio::task::spawn_local(async move {
            let mut connection = Connection::new(stream, this.limits.ring);
            this.serve(&mut connection, &standing, full).await;
            drop(connection);
            this.open.borrow_mut().remove(&number);
            this.ended.notify_one();
        });
    }

    /// Makes room for a newcomer; false where no connection is idle.
    fn close_longest_idle(&self) -> bool {
        let open = self.open.borrow();
        // One that has only just come, or been answered, may have a request on its way.
        let settled = |at: Instant| at.elapsed() >= self.limits.client_settle;
        let idle = open.values().filter(|s| s.idle_since.get().is_some_and(settled));
        let longest = idle.min_by_key(|s| s.idle_since.get());
        longest.inspect(|s| s.idle_since.set(None)).inspect(|s| s.close.notify_one()).is_some()
    }

    async fn serve(&self, connection: &mut Connection, standing: &Standing, full: bool) {
        let mut stage = self.stage.clone();
        let most_idle = if full { self.limits.client_settle } else { self.limits.client_idle };
        loop {
            if !connection.has_input() {
                connection.rest();
                standing.idle_since.set(Some(Instant::now()));
                let more = tokio::select! {
                    biased;
                    more = connection.read() => matches!(more, Ok(n) if n > 0),
                    () = standing.close.notified() => !connection.quiet(),
                    _ = stage.wait_for(|stage| *stage == Stage::Closing) => !connection.quiet(),
                    () = sleep(most_idle) => false,
                };
                standing.idle_since.set(None);
                if !more {
                    return;
                }
            }
            let goes = match timeout(self.limits.client_wait, connection.request_head()).await {
                Ok(Ok(Some(head))) => self.request(connection, head, full).await,
                Ok(Ok(None)) => false,
                Ok(Err(Failed::Bad(bad))) => self.reject(connection, bad.status()).await,
                Ok(Err(_)) => false,
                Err(_) => self.reject(connection, 408).await,
            };
            if !goes {
                return;
            }
        }
    }

    /// Says what is wrong and ends the connection, for what may still come cannot be told apart.
    async fn reject(&self, connection: &mut Connection, status: u16) -> Goes {
        tracing::debug!("request answered {status}");
        if self.write(connection, status, false, &[], &Bytes::new()).await {
            connection.end(self.limits.tail_wait).await;
        }
        false
    }

    async fn write(
        &self,
        connection: &mut Connection,
        status: u16,
        keep: bool,
        fields: &[(&str, String)],
        body: &[u8],
    ) -> bool {
        let head = http1::answer(status, body.len(), keep, fields);
        let parts: [&[u8]; 2] = [&head, body];
        matches!(timeout(self.limits.client_wait, connection.write(&parts)).await, Ok(Ok(())))
    }

    async fn request(&self, connection: &mut Connection, mut head: RequestHead, full: bool) -> Goes {
        if head.target == READY_PATH {
            let ready = *self.stage.borrow() == Stage::Serving;
            let keep = head.keep && head.body == http1::Body::Done && !full;
            return self.write(connection, if ready { 200 } else { 503 }, keep, &[], &[]).await && keep;
        }
        let (mut work, left) = match self.words.work(&head) {
            Ok(read) => read,
            Err((status, why)) => {
                tracing::debug!("not taken: {why}");
                return self.reject(connection, status).await;
            }
        };
        if head.asks_first && head.body != http1::Body::Done {
            let welcome = connection.write(&[http1::GO_ON]);
            if !matches!(timeout(self.limits.client_wait, welcome).await, Ok(Ok(()))) {
                return false;
            }
        }
        let mut body = BytesMut::new();
        let whole = connection.body(&mut head.body, &mut body, self.limits.body, false);
        match timeout(self.limits.client_wait, whole).await {
            Ok(Ok(_)) => {}
            Ok(Err(Failed::Bad(bad))) => return self.reject(connection, bad.status()).await,
            Ok(Err(_)) => return false,
            Err(_) => return self.reject(connection, 408).await,
        }
        let taken = Instant::now();
        work.body = body.freeze();
        let id = work.id.clone();
        if self.ids.borrow().contains(&id) {
            // Guards against a second copy: this very work unit is open, so a repeat promises nothing.
            return self.reject(connection, 409).await;
        }
        let part = |margin: Duration, part: f64| left - margin.min(left.mul_f64(part));
        let limit = taken + part(self.limits.answer_margin, 0.2);
        let last = taken + part(self.limits.last_answer_margin, 0.1);
        let exchange =
            (!full).then(|| Exchange::new(WuId(self.next_wu.get()), work, limit, &self.held)).flatten();
        let answer = match exchange {
            None => Some(Answer::Deferred(None)),
            Some(exchange) => {
                self.next_wu.set(self.next_wu.get() + 1);
                self.ids.borrow_mut().insert(id.clone());
                let answer = self.wait(connection, &exchange, last).await;
                self.ids.borrow_mut().remove(&id);
                answer
            }
        };
        let Some(answer) = answer else { return false };
        // Over its limit the node keeps no connection, so that those that wait are taken.
        let room = !full && self.connections() <= self.limits.clients;
        let keep = head.keep && room && *self.stage.borrow() != Stage::Closing;
        let (status, fields, result) = self.words.answer(&answer);
        self.write(connection, status, keep, &fields, &result).await && keep
    }

    /// Hands a work unit over and waits for its answer; none where the client left.
    async fn wait(
        &self,
        connection: &mut Connection,
        exchange: &Rc<Exchange>,
        last: Instant,
    ) -> Option<Answer> {
        let answered = async {
            let _ = self.events.send(Event::Arrived(exchange.clone())).await;
            exchange.answered().await
        };
        let answer = tokio::select! {
            biased;
            answer = answered => return Some(answer),
            () = connection.gone() => None,
            // Guards against a work unit without its answer at its hard limit, whatever went wrong before.
            () = sleep_until(last) => Some(Answer::Aborted),
        };
        exchange.close();
        let _ = self.events.send(Event::Left(exchange.wu)).await;
        answer
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};

    /// The clock stands still until nothing else is left to do, so that long waits take no time.
    #[tokio::test(start_paused = true)]
    async fn half_sent_requests_time_out_and_idle_connections_end() {
        let settings = serde_json::json!({"project_types": [{"name": "render", "hard_limit": 5_000_000}]});
        let settings = settings.as_object().unwrap();
        let values = troutknot_hosting::named_values(settings).unwrap();
        let words = Rc::new(Vocabulary::of(settings, &values).unwrap());
        let stated = crate::limits::Stated { memory_mb: 64, sockets: 128, ..Default::default() };
        let limits = Rc::new(Limits::of(&stated));
        let (events, mut told) = mpsc::channel(16);
        let (_stage, staged) = watch::channel(Stage::Serving);
        let clients = Clients::new(limits, words, events, staged);
        let whole = "POST /render HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nConnection: close\r\n\
                     Content-Length: 2\r\n\r\nab";
        let local = tokio::task::LocalSet::new();
        for (sent, expected) in [
            ("", ""),
            (&whole[..9], "HTTP/1.1 408"),
            (&whole[..whole.len() - 1], "HTTP/1.1 408"),
            // Nobody answers it, so its own side does, before the client gives up.
            (whole, "HTTP/1.1 502"),
        ] {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
            client.write_all(sent.as_bytes()).unwrap();
            let clients = &clients;
            let serve = async {
                let (stream, _) = listener.accept().await.unwrap();
                clients.take(stream);
                while clients.connections() > 0 {
                    sleep(Duration::from_millis(10)).await;
                }
            };
            let whole_test = Duration::from_secs(300);
            timeout(whole_test, local.run_until(serve)).await.expect("the connection ends");
            let mut got = vec![0; expected.len()];
            client.read_exact(&mut got).unwrap();
            assert_eq!(String::from_utf8(got).unwrap(), expected, "{sent}");
        }
        assert!(matches!(told.try_recv(), Ok(Event::Arrived(exchange)) if exchange.is_over()));
        assert!(matches!(told.try_recv(), Ok(Event::Left(_))));
    }
}
