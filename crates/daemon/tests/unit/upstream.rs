//! The upstream side against executors that the tests play on loopback sockets.
use super::executor::IdleReuse;
use super::pool::ConnectError;
use super::*;
use crate::byte_budget::ByteBudget;
use crate::config::limits::Limits;
use crate::in_flight::{CancelSignal, ClientRequest};
use crate::protocol::Codec;
use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio::time::{Instant, timeout};

/// The id of the only executor.
fn executor() -> ExecutorId {
    troutknot_membership::ExecutorRegistry::default().register("a")
}

fn new_pool() -> (Rc<ExecutorPool>, mpsc::Receiver<NodeEvent>) {
    pool_with_drain_grace(Duration::ZERO)
}

fn pool_with_drain_grace(drain_grace: Duration) -> (Rc<ExecutorPool>, mpsc::Receiver<NodeEvent>) {
    pool_for_effect("safe", drain_grace)
}

fn pool_for_effect(effect: &str, drain_grace: Duration) -> (Rc<ExecutorPool>, mpsc::Receiver<NodeEvent>) {
    let codec = Codec::of_effect(effect);
    let wait = Duration::from_secs(5);
    let mut limits = Limits::new(&crate::config::limits::LimitInputs {
        memory_mb: 64,
        max_sockets: 128,
        connect_timeout: Some(wait),
        executor_idle_timeout: Some(wait),
        drain_grace: Some(drain_grace),
        ..Default::default()
    });
    // Longer than any test, so that no connection becomes clear of duplicate responses.
    limits.upstream.duplicate_response_window = wait;
    let (events, received) = mpsc::channel(16);
    (ExecutorPool::new(Rc::new(limits), codec, events, Rc::default()), received)
}

fn endpoint(address: Option<SocketAddr>, started_at: Option<f64>, is_ready: bool) -> ExecutorEndpoint {
    ExecutorEndpoint { address, started_at, is_ready }
}

fn in_flight_request() -> Rc<InFlightRequest> {
    request_with_body(0)
}

fn request_with_body(size: usize) -> Rc<InFlightRequest> {
    let work = ClientRequest::of("1", size);
    InFlightRequest::new(RequestId(1), work, Instant::now(), &ByteBudget::new(1 << 20)).unwrap()
}

fn dispatch_order(
    pool: &ExecutorPool,
    in_flight: &Rc<InFlightRequest>,
    cancel_signal: &Rc<CancelSignal>,
    decided_at: Instant,
    [attempt_deadline, send_deadline]: [Instant; 2],
) -> DispatchOrder {
    DispatchOrder {
        in_flight: in_flight.clone(),
        executor: executor(),
        executor_name: None,
        attempt_id: AttemptId(0),
        decided_at,
        incarnation: pool.incarnation(executor()),
        attempt_deadline,
        send_deadline: send_deadline.min(attempt_deadline),
        cancel_signal: cancel_signal.clone(),
    }
}

#[derive(Clone, Copy, PartialEq)]
enum AcceptQueue {
    Free,
    /// Further connections hang until the fillers are dropped.
    Full,
}

/// A listening socket, and the connections that fill its accept queue.
fn listener(queue: AcceptQueue) -> (std::net::TcpListener, Vec<std::net::TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    let is_full = queue == AcceptQueue::Full;
    socket.listen(if is_full { 0 } else { 8 }).unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    let fillers = (0..if is_full { 1 } else { 0 }).map(|_| std::net::TcpStream::connect(addr).unwrap());
    (socket.into(), fillers.collect())
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Overtaken {
    RequestOver,
    DrainWaitEnded,
    DeadlinePassed,
    /// The executor may not deduplicate it any more, though the attempt deadline is far off.
    SendDeadlinePassed,
    Cancelled,
    ProcessStalled,
    /// The list reports a restart after the dispatch was decided, before it is carried out.
    ExecutorRestarted,
    /// The same while the attempt connects.
    ExecutorRestartedWhileConnecting,
}
use Overtaken::*;

/// One attempt that an event overtakes.
struct OvertakenAttempt {
    by: Overtaken,
    pool: Rc<ExecutorPool>,
    in_flight: Rc<InFlightRequest>,
    cancel_signal: Rc<CancelSignal>,
    now: Instant,
}

impl OvertakenAttempt {
    fn new(
        by: Overtaken,
        address: SocketAddr,
        in_flight: Rc<InFlightRequest>,
    ) -> (Self, mpsc::Receiver<NodeEvent>) {
        let (pool, events) = new_pool();
        pool.set_endpoint(executor(), endpoint(Some(address), None, true));
        let (cancel_signal, now) = (Rc::default(), Instant::now());
        (OvertakenAttempt { by, pool, in_flight, cancel_signal, now }, events)
    }

    /// The deadline that overtakes the attempt is near; the other one is not.
    fn order(&self) -> DispatchOrder {
        let at = |what| self.now + Duration::from_millis(if self.by == what { 800 } else { 60_000 });
        let has_stalled = self.by == ProcessStalled;
        let decided_at = if has_stalled { self.now - Duration::from_secs(6) } else { self.now };
        let deadlines = [DeadlinePassed, SendDeadlinePassed].map(at);
        dispatch_order(&self.pool, &self.in_flight, &self.cancel_signal, decided_at, deadlines)
    }

    /// Has the event happen, unless time or the test brings it.
    fn overtake(&self) {
        match self.by {
            RequestOver => _ = self.in_flight.close(),
            DrainWaitEnded => self.pool.start_draining(executor()),
            Cancelled => self.cancel_signal.cancel(Outcome::Cancelled),
            _ => {}
        }
    }

    /// Asserts that the attempt has no outcome for this time.
    async fn assert_pending(&self, events: &mut mpsc::Receiver<NodeEvent>, time: Duration) {
        assert!(timeout(time, events.recv()).await.is_err(), "{:?}", self.by);
    }
}

/// The outcome that an event reports.
fn outcome_of(event: Option<NodeEvent>) -> Option<Outcome> {
    match event {
        Some(NodeEvent::Core(CoreEvent::AttemptEnded { outcome, .. })) => Some(outcome),
        _ => None,
    }
}

#[tokio::test]
async fn an_attempt_that_is_overtaken_while_connecting_is_never_sent() {
    let local = LocalSet::new();
    for (by, expected) in [
        (RequestOver, Outcome::NotSent),
        (DrainWaitEnded, Outcome::NotSent),
        (DeadlinePassed, Outcome::NoConnection),
        (SendDeadlinePassed, Outcome::NotSent),
        (Cancelled, Outcome::NotSent),
        (ProcessStalled, Outcome::NotSent),
        (ExecutorRestarted, Outcome::NotSent),
        (ExecutorRestartedWhileConnecting, Outcome::NotSent),
    ] {
        let overtaken = overtake_while_connecting(by);
        let event = local.run_until(timeout(Duration::from_secs(4), overtaken)).await.unwrap();
        assert_eq!(outcome_of(event), Some(expected), "{by:?}");
    }
}

/// The event that the driver receives; no byte is sent.
async fn overtake_while_connecting(by: Overtaken) -> Option<NodeEvent> {
    let hangs = !matches!(by, ProcessStalled | ExecutorRestarted);
    let (listener, mut fillers) = listener(if hangs { AcceptQueue::Full } else { AcceptQueue::Free });
    let address = listener.local_addr().unwrap();
    let (attempt, mut events) = OvertakenAttempt::new(by, address, in_flight_request());
    let restart = || attempt.pool.set_endpoint(executor(), endpoint(Some(address), Some(2.0), true));
    let order = attempt.order();
    let overtake = async {
        if hangs {
            // The attempt hangs in its connect by now.
            attempt.assert_pending(&mut events, Duration::from_millis(30)).await;
        }
        attempt.overtake();
        if by == ExecutorRestartedWhileConnecting {
            restart();
            // The accept queue has space again, so the connection is established.
            fillers.clear();
            drop(listener.accept().unwrap());
        }
        events.recv().await
    };
    if by == ExecutorRestarted {
        restart();
    }
    let event = tokio::join!(overtake, attempt.pool.clone().dispatch(order)).0;
    if !hangs || by == ExecutorRestartedWhileConnecting {
        assert_nothing_received(&listener);
    }
    event
}

/// Asserts that no byte arrived on the next connection.
fn assert_nothing_received(listener: &std::net::TcpListener) {
    let stream = Socket::from(listener.accept().unwrap().0);
    stream.set_nonblocking(true).unwrap();
    let mut one = [std::mem::MaybeUninit::uninit()];
    assert!(!matches!(stream.recv(&mut one), Ok(n) if n > 0), "no byte is sent");
}

/// The executor accepts the connection and reads little or nothing. It never receives more of a request than it
/// has read by then, even if the node has written it completely and the rest is in the kernel's send buffer.
#[tokio::test]
async fn an_attempt_that_is_overtaken_while_being_written_never_arrives_complete() {
    let local = LocalSet::new();
    // The largest body that a node accepts, and one that fits into the socket buffers of both ends.
    let (large, small) = (64 * 1024, 12 * 1024);
    let each =
        [RequestOver, DrainWaitEnded, DeadlinePassed, SendDeadlinePassed, Cancelled].map(|by| (by, large));
    for (by, size) in each.into_iter().chain([(Cancelled, small)]) {
        let overtaken = overtake_while_writing(by, size);
        let waited = local.run_until(timeout(Duration::from_secs(4), overtaken)).await;
        let (event, mut there) = waited.unwrap_or_else(|_| panic!("{by:?}: still writing"));
        let outcome = outcome_of(event).unwrap_or_else(|| panic!("{by:?}"));
        assert_eq!(outcome.never_ran(), size == large, "{by:?}: {outcome:?}");
        let mut rest = Vec::new();
        let _ = std::io::Read::read_to_end(&mut there, &mut rest);
        let received = FIRST_BYTES + rest.len();
        assert!(received < size, "{by:?}: {received} of {size} bytes arrived");
    }
}

/// Bytes that the executor reads before the attempt is overtaken.
const FIRST_BYTES: usize = 100;

/// The event that the driver receives, and the executor's end of the connection.
async fn overtake_while_writing(by: Overtaken, size: usize) -> (Option<NodeEvent>, std::net::TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // A small receive buffer, so that most of the body stays on the node's end.
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(8).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let (attempt, mut events) = OvertakenAttempt::new(by, address, request_with_body(size));
    let order = attempt.order();
    let overtake = async {
        // The request is being written by now: its first bytes arrive, and there is no outcome.
        attempt.assert_pending(&mut events, Duration::from_millis(100)).await;
        let (mut there, _) = std::net::TcpListener::from(socket.try_clone().unwrap()).accept().unwrap();
        std::io::Read::read_exact(&mut there, &mut [0; FIRST_BYTES]).unwrap();
        attempt.overtake();
        (events.recv().await, there)
    };
    tokio::join!(overtake, attempt.pool.clone().dispatch(order)).0
}

#[tokio::test(start_paused = true)]
async fn the_latest_drain_wait_counts() {
    let ms = Duration::from_millis;
    let (pool, _events) = pool_with_drain_grace(ms(1000));
    let (entry, address) = (pool.executor_or_insert(executor()), Some(([127, 0, 0, 1], 1).into()));
    pool.set_endpoint(executor(), endpoint(address, None, false));
    let closed = entry.gate.closed();
    tokio::pin!(closed);
    assert!(timeout(ms(400), &mut closed).await.is_err(), "during the drain wait");
    pool.set_endpoint(executor(), endpoint(address, None, true));
    assert!(
        timeout(ms(400), &mut closed).await.is_err(),
        "ready again, past the end of the first drain wait"
    );
    pool.set_endpoint(executor(), endpoint(address, None, false));
    assert!(timeout(ms(400), &mut closed).await.is_err(), "during the second drain wait");
    assert!(timeout(ms(200), &mut closed).await.is_ok(), "after the second drain wait");
}

#[tokio::test]
async fn pooled_connections_are_reused_until_they_close_or_the_executor_moves() {
    let (pool, _events) = new_pool();
    let (first, _) = listener(AcceptQueue::Free);
    let (second, _) = listener(AcceptQueue::Free);
    let [first_address, second_address] = [&first, &second].map(|l| l.local_addr().unwrap());
    let max_connections = pool.limits.upstream.max_connections;
    pool.set_endpoint(executor(), endpoint(Some(first_address), Some(1.0), true));
    let entry = pool.executor_or_insert(executor());
    // What happens while the connection is idle, and whether it is reused.
    for (what, is_reused) in
        [("nothing", true), ("closed", false), ("spoke", false), ("restarted", false), ("moved", false)]
    {
        let connection = pool.connect(&entry, max_connections, IdleReuse::Any).await.ok().unwrap();
        let (mut there, _) =
            if entry.address() == Some(first_address) { &first } else { &second }.accept().unwrap();
        pool.put_back(&entry, connection);
        assert_eq!((entry.idle.len(), pool.connection_count()), (1, 1));
        match what {
            "closed" => drop(there),
            // Such as a duplicate response.
            "spoke" => std::io::Write::write_all(&mut there, b"HTTP/1.1 200 OK\r\n\r\n").unwrap(),
            "restarted" => pool.set_endpoint(executor(), endpoint(Some(first_address), Some(2.0), true)),
            "moved" => pool.set_endpoint(executor(), endpoint(Some(second_address), Some(2.0), true)),
            _ => {}
        }
        assert_eq!(entry.idle.take(&pool.limits, IdleReuse::Any).is_some(), is_reused, "{what}");
        assert_eq!(pool.connection_count(), 0, "{what}");
    }
    let old = pool.connect(&entry, max_connections, IdleReuse::Any).await.ok().unwrap();
    pool.set_endpoint(executor(), endpoint(Some(first_address), Some(3.0), true));
    pool.put_back(&entry, old);
    assert_eq!(entry.idle.len(), 0, "a connection from before a restart is not pooled");
    let first = pool.connect(&entry, 1, IdleReuse::Any).await;
    let second = pool.connect(&entry, 1, IdleReuse::Any).await;
    assert!(first.is_ok(), "below the limit");
    let error = second.err().expect("the limit is reached");
    assert!(matches!(error, ConnectError::Exhausted), "{error}");
    assert_eq!(error.outcome(), Outcome::NotSent);
}

/// The executor's duplicate response to one attempt arrives once the next request has been written. It names no
/// request and claims that nothing ran.
#[tokio::test]
async fn a_duplicate_response_without_a_request_id_does_not_decide_the_next_attempt() {
    const DONE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n\
        {\"id\":\"1\",\"state\":\"done\",\"result\":\"xyz\"}";
    const NOT_STARTED: &[u8] = b"HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
    for (effect, expected) in
        [("safe", Outcome::Rejected), ("keyed", Outcome::Completed), ("unsafe", Outcome::Completed)]
    {
        let (pool, mut events) = pool_for_effect(effect, Duration::ZERO);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        pool.set_endpoint(executor(), endpoint(listener.local_addr().ok(), None, true));
        let deadline = Instant::now() + Duration::from_secs(60);
        let run = || {
            let (in_flight, signal) = (in_flight_request(), Rc::default());
            let order = dispatch_order(&pool, &in_flight, &signal, Instant::now(), [deadline; 2]);
            pool.clone().dispatch(order)
        };
        let responses = async {
            let (mut first, _) = listener.accept().await.unwrap();
            receive_request(&mut first).await;
            first.write_all(DONE).await.unwrap();
            if effect == "safe" {
                receive_request(&mut first).await;
                first.write_all(NOT_STARTED).await.unwrap();
                // The connection is closed, which cancels what may still run there.
                return assert_eq!(first.read(&mut [0]).await.unwrap_or(0), 0);
            }
            let (mut second, _) = listener.accept().await.unwrap();
            receive_request(&mut second).await;
            first.write_all(NOT_STARTED).await.unwrap();
            second.write_all(DONE).await.unwrap();
        };
        let both = async { tokio::join!(responses, async { (run().await, run().await) }) };
        assert!(timeout(Duration::from_secs(4), both).await.is_ok(), "{effect}: both attempts end");
        for expected in [Outcome::Completed, expected] {
            assert_eq!(outcome_of(events.recv().await), Some(expected), "{effect}");
        }
    }
}

async fn receive_request(stream: &mut tokio::net::TcpStream) {
    assert!(stream.read(&mut [0; 1000]).await.unwrap() > 0);
}
