//! The upstream side against executors that the tests simulate on loopback sockets.
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
    let codec = Codec::with_effect(effect);
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
    let request = ClientRequest::with_body_size("1", size);
    InFlightRequest::new(RequestId(1), request, Instant::now(), &ByteBudget::new(1 << 20)).unwrap()
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
    /// Further connections hang until the connections that fill the queue are dropped.
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

/// Why an attempt may no longer be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Invalidation {
    RequestClosed,
    DrainGraceEnded,
    DeadlinePassed,
    /// The executor may no longer deduplicate the request, although the attempt's deadline is not near.
    SendDeadlinePassed,
    Cancelled,
    ProcessStalled,
    /// The list reports a restart of the executor between the decision and the dispatch.
    ExecutorRestarted,
    /// The list reports a restart of the executor while the attempt connects.
    ExecutorRestartedWhileConnecting,
}
use Invalidation::*;

/// One attempt that an event invalidates before it is sent completely.
struct InvalidatedAttempt {
    cause: Invalidation,
    pool: Rc<ExecutorPool>,
    in_flight: Rc<InFlightRequest>,
    cancel_signal: Rc<CancelSignal>,
    now: Instant,
}

impl InvalidatedAttempt {
    fn new(
        cause: Invalidation,
        address: SocketAddr,
        in_flight: Rc<InFlightRequest>,
    ) -> (Self, mpsc::Receiver<NodeEvent>) {
        let (pool, events) = new_pool();
        pool.set_endpoint(executor(), endpoint(Some(address), None, true));
        let (cancel_signal, now) = (Rc::default(), Instant::now());
        (InvalidatedAttempt { cause, pool, in_flight, cancel_signal, now }, events)
    }

    /// The order, in which the deadline that invalidates the attempt is near and the other one is not.
    fn order(&self) -> DispatchOrder {
        let at =
            |deadline| self.now + Duration::from_millis(if self.cause == deadline { 800 } else { 60_000 });
        let has_stalled = self.cause == ProcessStalled;
        let decided_at = if has_stalled { self.now - Duration::from_secs(6) } else { self.now };
        let deadlines = [DeadlinePassed, SendDeadlinePassed].map(at);
        dispatch_order(&self.pool, &self.in_flight, &self.cancel_signal, decided_at, deadlines)
    }

    /// Triggers the event, unless it is a deadline or the test triggers it.
    fn invalidate(&self) {
        match self.cause {
            RequestClosed => _ = self.in_flight.close(),
            DrainGraceEnded => self.pool.start_draining(executor()),
            Cancelled => self.cancel_signal.cancel(Outcome::Cancelled),
            _ => {}
        }
    }

    /// Asserts that the attempt has no outcome for this time.
    async fn assert_pending(&self, events: &mut mpsc::Receiver<NodeEvent>, time: Duration) {
        assert!(timeout(time, events.recv()).await.is_err(), "{:?}", self.cause);
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
async fn an_attempt_that_is_invalidated_while_it_connects_is_never_sent() {
    let local = LocalSet::new();
    for (cause, expected) in [
        (RequestClosed, Outcome::NotSent),
        (DrainGraceEnded, Outcome::NotSent),
        (DeadlinePassed, Outcome::NoConnection),
        (SendDeadlinePassed, Outcome::NotSent),
        (Cancelled, Outcome::NotSent),
        (ProcessStalled, Outcome::NotSent),
        (ExecutorRestarted, Outcome::NotSent),
        (ExecutorRestartedWhileConnecting, Outcome::NotSent),
    ] {
        let invalidated = invalidate_while_connecting(cause);
        let event = local.run_until(timeout(Duration::from_secs(4), invalidated)).await.unwrap();
        assert_eq!(outcome_of(event), Some(expected), "{cause:?}");
    }
}

/// The event that the driver receives; no byte is sent.
async fn invalidate_while_connecting(cause: Invalidation) -> Option<NodeEvent> {
    let hangs = !matches!(cause, ProcessStalled | ExecutorRestarted);
    let (listener, mut fillers) = listener(if hangs { AcceptQueue::Full } else { AcceptQueue::Free });
    let address = listener.local_addr().unwrap();
    let (attempt, mut events) = InvalidatedAttempt::new(cause, address, in_flight_request());
    let restart = || attempt.pool.set_endpoint(executor(), endpoint(Some(address), Some(2.0), true));
    let order = attempt.order();
    let invalidate = async {
        if hangs {
            // The attempt hangs in its connect by now.
            attempt.assert_pending(&mut events, Duration::from_millis(30)).await;
        }
        attempt.invalidate();
        if cause == ExecutorRestartedWhileConnecting {
            restart();
            // The accept queue has space again, so the connection is established.
            fillers.clear();
            drop(listener.accept().unwrap());
        }
        events.recv().await
    };
    if cause == ExecutorRestarted {
        restart();
    }
    let event = tokio::join!(invalidate, attempt.pool.clone().dispatch(order)).0;
    if !hangs || cause == ExecutorRestartedWhileConnecting {
        assert_nothing_received(&listener);
    }
    event
}

/// Asserts that no byte arrived on the next connection.
fn assert_nothing_received(listener: &std::net::TcpListener) {
    let stream = Socket::from(listener.accept().unwrap().0);
    stream.set_nonblocking(true).unwrap();
    let mut byte = [std::mem::MaybeUninit::uninit()];
    assert!(!matches!(stream.recv(&mut byte), Ok(length) if length > 0), "no byte is sent");
}

/// The executor accepts the connection and reads little or nothing. After the invalidation it must receive nothing
/// more, even if the node has written the request completely and the rest is in the kernel's send buffer.
#[tokio::test]
async fn an_attempt_that_is_invalidated_while_it_is_written_never_arrives_complete() {
    let local = LocalSet::new();
    // The largest body that a node accepts, and one that fits into the socket buffers of both sides.
    let (large, small) = (64 * 1024, 12 * 1024);
    let large_cases = [RequestClosed, DrainGraceEnded, DeadlinePassed, SendDeadlinePassed, Cancelled]
        .map(|cause| (cause, large));
    for (cause, size) in large_cases.into_iter().chain([(Cancelled, small)]) {
        let invalidated = invalidate_while_writing(cause, size);
        let waited = local.run_until(timeout(Duration::from_secs(4), invalidated)).await;
        let (event, mut executor_end) = waited.unwrap_or_else(|_| panic!("{cause:?}: still writing"));
        let outcome = outcome_of(event).unwrap_or_else(|| panic!("{cause:?}"));
        assert_eq!(outcome.never_ran(), size == large, "{cause:?}: {outcome:?}");
        let mut rest = Vec::new();
        let _ = std::io::Read::read_to_end(&mut executor_end, &mut rest);
        let received = FIRST_BYTES + rest.len();
        assert!(received < size, "{cause:?}: {received} of {size} bytes arrived");
    }
}

/// Bytes that the executor reads before the attempt is invalidated.
const FIRST_BYTES: usize = 100;

/// The event that the driver receives, and the executor's end of the connection.
async fn invalidate_while_writing(
    cause: Invalidation,
    size: usize,
) -> (Option<NodeEvent>, std::net::TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    // A small receive buffer, so that most of the body stays on the node's end.
    socket.set_recv_buffer_size(4096).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(8).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let (attempt, mut events) = InvalidatedAttempt::new(cause, address, request_with_body(size));
    let order = attempt.order();
    let invalidate = async {
        // The request is being written by now: its first bytes arrive, and there is no outcome.
        attempt.assert_pending(&mut events, Duration::from_millis(100)).await;
        let (mut executor_end, _) =
            std::net::TcpListener::from(socket.try_clone().unwrap()).accept().unwrap();
        std::io::Read::read_exact(&mut executor_end, &mut [0; FIRST_BYTES]).unwrap();
        attempt.invalidate();
        (events.recv().await, executor_end)
    };
    tokio::join!(invalidate, attempt.pool.clone().dispatch(order)).0
}

#[tokio::test(start_paused = true)]
async fn an_executor_that_drains_twice_is_closed_after_the_second_drain_grace() {
    let millis = Duration::from_millis;
    let (pool, _events) = pool_with_drain_grace(millis(1000));
    let (entry, address) = (pool.executor_or_insert(executor()), Some(([127, 0, 0, 1], 1).into()));
    pool.set_endpoint(executor(), endpoint(address, None, false));
    let closed = entry.gate.closed();
    tokio::pin!(closed);
    assert!(timeout(millis(400), &mut closed).await.is_err(), "during the drain grace");
    pool.set_endpoint(executor(), endpoint(address, None, true));
    assert!(
        timeout(millis(400), &mut closed).await.is_err(),
        "ready again, past the end of the first drain grace"
    );
    pool.set_endpoint(executor(), endpoint(address, None, false));
    assert!(timeout(millis(400), &mut closed).await.is_err(), "during the second drain grace");
    assert!(timeout(millis(200), &mut closed).await.is_ok(), "after the second drain grace");
}

#[tokio::test]
async fn pooled_connections_are_reused_until_they_close_or_the_executor_moves() {
    let (pool, _events) = new_pool();
    let (first, _) = listener(AcceptQueue::Free);
    let (second, _) = listener(AcceptQueue::Free);
    let [first_address, second_address] = [&first, &second].map(|listener| listener.local_addr().unwrap());
    let max_connections = pool.limits.upstream.max_connections;
    pool.set_endpoint(executor(), endpoint(Some(first_address), Some(1.0), true));
    let entry = pool.executor_or_insert(executor());
    // What happens while the connection is idle, and whether it is reused.
    for (event, is_reused) in
        [("nothing", true), ("closed", false), ("sent bytes", false), ("restarted", false), ("moved", false)]
    {
        let connection = pool.connect(&entry, max_connections, IdleReuse::Any).await.ok().unwrap();
        let (mut executor_end, _) =
            if entry.address() == Some(first_address) { &first } else { &second }.accept().unwrap();
        pool.put_back(&entry, connection);
        assert_eq!((entry.idle.len(), pool.connection_count()), (1, 1));
        match event {
            "closed" => drop(executor_end),
            // Such as a duplicate response.
            "sent bytes" => std::io::Write::write_all(&mut executor_end, b"HTTP/1.1 200 OK\r\n\r\n").unwrap(),
            "restarted" => pool.set_endpoint(executor(), endpoint(Some(first_address), Some(2.0), true)),
            "moved" => pool.set_endpoint(executor(), endpoint(Some(second_address), Some(2.0), true)),
            _ => {}
        }
        assert_eq!(entry.idle.take(&pool.limits, IdleReuse::Any).is_some(), is_reused, "{event}");
        assert_eq!(pool.connection_count(), 0, "{event}");
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
                // The connection is closed, which cancels an attempt that may still be running.
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
