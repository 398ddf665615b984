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
    ProcessStoodStill,
    /// The list reports a restart after the dispatch was decided, before it is carried out.
    ExecutorRestarted,
    /// The same while the attempt connects.
    ExecutorRestartedWhileConnecting,
}
use Overtaken::*;

#[tokio::test]
async fn an_attempt_that_is_overtaken_while_connecting_is_never_sent() {
    let local = LocalSet::new();
    for (by, expected) in [
        (RequestOver, Outcome::NotSent),
        (DrainWaitEnded, Outcome::NotSent),
        (DeadlinePassed, Outcome::NoConnection),
        (SendDeadlinePassed, Outcome::NotSent),
        (Cancelled, Outcome::NotSent),
        (ProcessStoodStill, Outcome::NotSent),
        (ExecutorRestarted, Outcome::NotSent),
        (ExecutorRestartedWhileConnecting, Outcome::NotSent),
    ] {
        let hangs = !matches!(by, ProcessStoodStill | ExecutorRestarted);
        let (listener, mut fillers) = listener(if hangs { AcceptQueue::Full } else { AcceptQueue::Free });
        let (pool, mut events) = new_pool();
        pool.set_endpoint(executor(), endpoint(Some(listener.local_addr().unwrap()), None, true));
        let (in_flight, now) = (in_flight_request(), Instant::now());
        let at = |what| now + Duration::from_millis(if by == what { 800 } else { 60_000 });
        let decided_at = if by == ProcessStoodStill { now - Duration::from_secs(6) } else { now };
        let cancel_signal = Rc::new(CancelSignal::default());
        let order = dispatch_order(
            &pool,
            &in_flight,
            &cancel_signal,
            decided_at,
            [DeadlinePassed, SendDeadlinePassed].map(at),
        );
        let overtake = async {
            if hangs {
                // The attempt hangs in its connect by now.
                let early = timeout(Duration::from_millis(30), events.recv()).await;
                assert!(early.is_err(), "{by:?}");
            }
            match by {
                RequestOver => _ = in_flight.close(),
                DrainWaitEnded => pool.start_draining(executor()),
                Cancelled => cancel_signal.cancel(Outcome::Cancelled),
                ExecutorRestartedWhileConnecting => {
                    let at = Some(listener.local_addr().unwrap());
                    pool.set_endpoint(executor(), endpoint(at, Some(2.0), true));
                    // The accept queue has space again, so the connection is established.
                    fillers.clear();
                    drop(listener.accept().unwrap());
                }
                _ => {}
            }
            events.recv().await
        };
        if by == ExecutorRestarted {
            pool.set_endpoint(executor(), endpoint(Some(listener.local_addr().unwrap()), Some(2.0), true));
        }
        let both = async { tokio::join!(overtake, pool.clone().dispatch(order)).0 };
        let event = local.run_until(timeout(Duration::from_secs(4), both)).await.unwrap();
        assert!(
            matches!(event, Some(NodeEvent::Core(CoreEvent::AttemptEnded { outcome, .. })) if outcome == expected),
            "{by:?}"
        );
        if !hangs || by == ExecutorRestartedWhileConnecting {
            let (stream, _) = listener.accept().unwrap();
            let mut one = [std::mem::MaybeUninit::uninit()];
            let stream = Socket::from(stream);
            stream.set_nonblocking(true).unwrap();
            assert!(!matches!(stream.recv(&mut one), Ok(n) if n > 0), "no byte is sent");
        }
    }
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
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        // A small receive buffer, so that most of the body stays on the node's end.
        socket.set_recv_buffer_size(4096).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(8).unwrap();
        let (pool, mut events) = new_pool();
        let address = socket.local_addr().unwrap().as_socket();
        pool.set_endpoint(executor(), endpoint(address, None, true));
        let (in_flight, now) = (request_with_body(size), Instant::now());
        let at = |what| now + Duration::from_millis(if by == what { 800 } else { 60_000 });
        let cancel_signal = Rc::new(CancelSignal::default());
        let order = dispatch_order(
            &pool,
            &in_flight,
            &cancel_signal,
            now,
            [DeadlinePassed, SendDeadlinePassed].map(at),
        );
        let overtake = async {
            // The request is being written by now: its first bytes arrive, and there is no outcome.
            let early = timeout(Duration::from_millis(100), events.recv()).await;
            assert!(early.is_err(), "{by:?}");
            let (mut there, _) = std::net::TcpListener::from(socket.try_clone().unwrap()).accept().unwrap();
            let mut first = [0; 100];
            std::io::Read::read_exact(&mut there, &mut first).unwrap();
            match by {
                RequestOver => _ = in_flight.close(),
                DrainWaitEnded => pool.start_draining(executor()),
                Cancelled => cancel_signal.cancel(Outcome::Cancelled),
                _ => {}
            }
            (events.recv().await, there)
        };
        let both = async { tokio::join!(overtake, pool.clone().dispatch(order)).0 };
        let waited = local.run_until(timeout(Duration::from_secs(4), both)).await;
        let (event, mut there) = waited.unwrap_or_else(|_| panic!("{by:?}: still writing"));
        let Some(NodeEvent::Core(CoreEvent::AttemptEnded { outcome, .. })) = event else { panic!("{by:?}") };
        assert_eq!(outcome.never_ran(), size == large, "{by:?}: {outcome:?}");
        let mut rest = Vec::new();
        let _ = std::io::Read::read_to_end(&mut there, &mut rest);
        assert!(100 + rest.len() < size, "{by:?}: {} of {size} bytes arrived", 100 + rest.len());
    }
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
        let (deadline, cancel_signal) = (Instant::now() + Duration::from_secs(60), Rc::default());
        let run = || {
            pool.clone().dispatch(dispatch_order(
                &pool,
                &in_flight_request(),
                &cancel_signal,
                Instant::now(),
                [deadline; 2],
            ))
        };
        let answers = async {
            let (mut one, _) = listener.accept().await.unwrap();
            assert!(one.read(&mut [0; 1000]).await.unwrap() > 0);
            one.write_all(DONE).await.unwrap();
            if effect == "safe" {
                assert!(one.read(&mut [0; 1000]).await.unwrap() > 0);
                one.write_all(NOT_STARTED).await.unwrap();
                // The connection is closed, which cancels what may still run there.
                return assert_eq!(one.read(&mut [0]).await.unwrap_or(0), 0);
            }
            let (mut other, _) = listener.accept().await.unwrap();
            assert!(other.read(&mut [0; 1000]).await.unwrap() > 0);
            one.write_all(NOT_STARTED).await.unwrap();
            other.write_all(DONE).await.unwrap();
        };
        let both = async { tokio::join!(answers, async { (run().await, run().await) }) };
        assert!(timeout(Duration::from_secs(4), both).await.is_ok(), "{effect}: both attempts end");
        for expected in [Outcome::Completed, expected] {
            let Some(NodeEvent::Core(CoreEvent::AttemptEnded { outcome, .. })) = events.recv().await else {
                panic!()
            };
            assert_eq!(outcome, expected, "{effect}");
        }
    }
}
