//! Connections to executors, by sockets.
use super::*;
use crate::in_flight::ClientRequest;
use socket2::{Domain, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::LocalSet;
use troutknot::RequestId;

/// The handle of the one executor.
fn executor() -> ExecutorId {
    troutknot_membership::ExecutorRegistry::default().register("a")
}

fn executors() -> (Rc<ExecutorPool>, mpsc::Receiver<NodeEvent>) {
    executors_with(Duration::ZERO)
}

fn executors_with(drain_grace: Duration) -> (Rc<ExecutorPool>, mpsc::Receiver<NodeEvent>) {
    executors_for("safe", drain_grace)
}

fn executors_for(effect: &str, drain_grace: Duration) -> (Rc<ExecutorPool>, mpsc::Receiver<NodeEvent>) {
    let codec = Codec::of_effect(effect);
    let wait = Duration::from_secs(5);
    let mut limits = Limits::of(&crate::config::limits::LimitInputs {
        memory_mb: 64,
        sockets: 128,
        connect_wait: Some(wait),
        executors_idle: Some(wait),
        drain_grace: Some(drain_grace),
        ..Default::default()
    });
    // A test takes less.
    limits.second_answer = wait;
    let (events, told) = mpsc::channel(16);
    (ExecutorPool::new(Rc::new(limits), codec, events, Rc::default()), told)
}

fn endpoint(address: Option<SocketAddr>, started_at: Option<f64>, is_ready: bool) -> ExecutorEndpoint {
    ExecutorEndpoint { address, started_at, is_ready }
}

fn in_flight() -> Rc<InFlightRequest> {
    exchange_of(0)
}

fn exchange_of(size: usize) -> Rc<InFlightRequest> {
    let work = ClientRequest::of("1", size);
    InFlightRequest::new(RequestId(1), work, Instant::now(), &ByteBudget::new(1 << 20)).unwrap()
}

fn push(
    of: &ExecutorPool,
    in_flight: &Rc<InFlightRequest>,
    stop: &Rc<CancelSignal>,
    decided: Instant,
    [attempt_deadline, send_deadline]: [Instant; 2],
) -> DispatchOrder {
    DispatchOrder {
        in_flight: in_flight.clone(),
        executor: executor(),
        executor_name: None,
        attempt_id: AttemptId(0),
        decided_at: decided,
        incarnation: of.incarnation(executor()),
        attempt_deadline,
        send_deadline: send_deadline.min(attempt_deadline),
        cancel_signal: stop.clone(),
    }
}

/// Listens, and with `full` so that every connection hangs: its queue is taken up.
fn listener(full: bool) -> (std::net::TcpListener, Vec<std::net::TcpStream>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(if full { 0 } else { 8 }).unwrap();
    let addr = socket.local_addr().unwrap().as_socket().unwrap();
    let fillers = (0..if full { 1 } else { 0 }).map(|_| std::net::TcpStream::connect(addr).unwrap());
    (socket.into(), fillers.collect())
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Overtaken {
    WorkUnitOver,
    GraceEnded,
    CutCame,
    /// Repeats of it are dropped no longer, though its cut is far off.
    WindowOver,
    Stopped,
    NodeStoodStill,
    /// The list tells of another start between the decision and its being carried out.
    RestartTold,
    /// The same once it connects.
    RestartToldLate,
}
use Overtaken::*;

#[tokio::test]
async fn an_allocation_that_is_overtaken_while_it_connects_is_dropped_unsent() {
    let local = LocalSet::new();
    for (by, expected) in [
        (WorkUnitOver, Outcome::NotSent),
        (GraceEnded, Outcome::NotSent),
        (CutCame, Outcome::NoConnection),
        (WindowOver, Outcome::NotSent),
        (Stopped, Outcome::NotSent),
        (NodeStoodStill, Outcome::NotSent),
        (RestartTold, Outcome::NotSent),
        (RestartToldLate, Outcome::NotSent),
    ] {
        let hangs = !matches!(by, NodeStoodStill | RestartTold);
        let (listener, mut fillers) = listener(hangs);
        let (executors, mut told) = executors();
        executors.set_endpoint(executor(), endpoint(Some(listener.local_addr().unwrap()), None, true));
        let (in_flight, now) = (in_flight(), Instant::now());
        let at = |what| now + Duration::from_millis(if by == what { 800 } else { 60_000 });
        let decided = if by == NodeStoodStill { now - Duration::from_secs(6) } else { now };
        let stop = Rc::new(CancelSignal::default());
        let push = push(&executors, &in_flight, &stop, decided, [CutCame, WindowOver].map(at));
        let overtake = async {
            if hangs {
                // It hangs in its connection by now: nothing came of it.
                let early = timeout(Duration::from_millis(30), told.recv()).await;
                assert!(early.is_err(), "{by:?}");
            }
            match by {
                WorkUnitOver => _ = in_flight.close(),
                GraceEnded => executors.start_draining(executor()),
                Stopped => stop.cancel(Outcome::Cancelled),
                RestartToldLate => {
                    let at = Some(listener.local_addr().unwrap());
                    executors.set_endpoint(executor(), endpoint(at, Some(2.0), true));
                    // The queue has room again, so its connection comes up.
                    fillers.clear();
                    drop(listener.accept().unwrap());
                }
                _ => {}
            }
            told.recv().await
        };
        if by == RestartTold {
            executors
                .set_endpoint(executor(), endpoint(Some(listener.local_addr().unwrap()), Some(2.0), true));
        }
        let both = async { tokio::join!(overtake, executors.clone().dispatch(push)).0 };
        let event = local.run_until(timeout(Duration::from_secs(4), both)).await.unwrap();
        assert!(
            matches!(event, Some(NodeEvent::Core(CoreEvent::AttemptEnded { outcome, .. })) if outcome == expected),
            "{by:?}"
        );
        if !hangs || by == RestartToldLate {
            let (stream, _) = listener.accept().unwrap();
            let mut one = [std::mem::MaybeUninit::uninit()];
            let stream = Socket::from(stream);
            stream.set_nonblocking(true).unwrap();
            assert!(!matches!(stream.recv(&mut one), Ok(n) if n > 0), "no byte was sent");
        }
    }
}

/// An executor that takes the connection and reads nothing, or little: what has been written of a work unit
/// by then is all that it ever gets of it, also where the node has written it whole and the system holds it.
#[tokio::test]
async fn an_allocation_that_is_overtaken_while_it_is_written_never_comes_whole() {
    let local = LocalSet::new();
    // The largest body that a node takes, and one that the system takes in for both sides.
    let (large, small) = (64 * 1024, 12 * 1024);
    let each = [WorkUnitOver, GraceEnded, CutCame, WindowOver, Stopped].map(|by| (by, large));
    for (by, size) in each.into_iter().chain([(Stopped, small)]) {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        // So that little of it is taken in by the system for the executor.
        socket.set_recv_buffer_size(4096).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(8).unwrap();
        let (executors, mut told) = executors();
        let addr = socket.local_addr().unwrap().as_socket();
        executors.set_endpoint(executor(), endpoint(addr, None, true));
        let (in_flight, now) = (exchange_of(size), Instant::now());
        let at = |what| now + Duration::from_millis(if by == what { 800 } else { 60_000 });
        let stop = Rc::new(CancelSignal::default());
        let push = push(&executors, &in_flight, &stop, now, [CutCame, WindowOver].map(at));
        let overtake = async {
            // It is being written by now: its first bytes have come, and nothing came of it.
            let early = timeout(Duration::from_millis(100), told.recv()).await;
            assert!(early.is_err(), "{by:?}");
            let (mut there, _) = std::net::TcpListener::from(socket.try_clone().unwrap()).accept().unwrap();
            let mut first = [0; 100];
            std::io::Read::read_exact(&mut there, &mut first).unwrap();
            match by {
                WorkUnitOver => _ = in_flight.close(),
                GraceEnded => executors.start_draining(executor()),
                Stopped => stop.cancel(Outcome::Cancelled),
                _ => {}
            }
            (told.recv().await, there)
        };
        let both = async { tokio::join!(overtake, executors.clone().dispatch(push)).0 };
        let waited = local.run_until(timeout(Duration::from_secs(4), both)).await;
        let (event, mut there) = waited.unwrap_or_else(|_| panic!("{by:?}: it is still written"));
        let Some(NodeEvent::Core(CoreEvent::AttemptEnded { outcome, .. })) = event else { panic!("{by:?}") };
        assert_eq!(outcome.never_ran(), size == large, "{by:?}: {outcome:?}");
        let mut rest = Vec::new();
        let _ = std::io::Read::read_to_end(&mut there, &mut rest);
        assert!(100 + rest.len() < size, "{by:?}: {} of {size} bytes came", 100 + rest.len());
    }
}

#[tokio::test(start_paused = true)]
async fn the_grace_that_counts_is_the_one_told_last() {
    let ms = Duration::from_millis;
    let (executors, _told) = executors_with(ms(1000));
    let (host, addr) = (executors.host_to_list(executor()), Some(([127, 0, 0, 1], 1).into()));
    executors.set_endpoint(executor(), endpoint(addr, None, false));
    let shut = host.shut();
    tokio::pin!(shut);
    assert!(timeout(ms(400), &mut shut).await.is_err(), "in the grace");
    executors.set_endpoint(executor(), endpoint(addr, None, true));
    assert!(timeout(ms(400), &mut shut).await.is_err(), "it is healthy again, and the first grace is over");
    executors.set_endpoint(executor(), endpoint(addr, None, false));
    assert!(timeout(ms(400), &mut shut).await.is_err(), "in the second grace");
    assert!(timeout(ms(200), &mut shut).await.is_ok(), "once that is over");
}

#[tokio::test]
async fn pooled_connections_are_used_again_until_they_end_or_the_executor_moves() {
    let (executors, _told) = executors();
    let (first, _) = listener(false);
    let (second, _) = listener(false);
    let [a, b] = [&first, &second].map(|l| l.local_addr().unwrap());
    let most = executors.limits.executors;
    executors.set_endpoint(executor(), endpoint(Some(a), Some(1.0), true));
    let host = executors.host_to_list(executor());
    // What happens while it is idle, and whether it is used again.
    for (what, again) in
        [("nothing", true), ("closed", false), ("spoke", false), ("restarted", false), ("moved", false)]
    {
        let connection = executors.connect(&host, most, false).await.ok().unwrap();
        let (mut there, _) = if host.addr.get() == Some(a) { &first } else { &second }.accept().unwrap();
        executors.put_back(&host, connection);
        assert_eq!((host.idle.borrow().len(), executors.open.get()), (1, 1));
        match what {
            "closed" => drop(there),
            // Such as a second answer, some time after the first.
            "spoke" => std::io::Write::write_all(&mut there, b"HTTP/1.1 200 OK\r\n\r\n").unwrap(),
            "restarted" => executors.set_endpoint(executor(), endpoint(Some(a), Some(2.0), true)),
            "moved" => executors.set_endpoint(executor(), endpoint(Some(b), Some(2.0), true)),
            _ => {}
        }
        assert_eq!(host.take_idle(&executors.limits, false).is_some(), again, "{what}");
        assert_eq!(executors.open.get(), 0, "{what}");
    }
    let old = executors.connect(&host, most, false).await.ok().unwrap();
    executors.set_endpoint(executor(), endpoint(Some(a), Some(3.0), true));
    executors.put_back(&host, old);
    assert!(host.idle.borrow().is_empty(), "one from before a restart is not kept");
    let used: Vec<_> =
        [executors.connect(&host, 1, false).await, executors.connect(&host, 1, false).await].into();
    assert!(used[0].is_ok() && matches!(used[1], Err(Outcome::NotSent)), "no more than the most");
}

/// An executor whose second answer to one allocation comes once the next one has been written: it names no
/// work unit, and says that nothing ran.
#[tokio::test]
async fn a_second_answer_without_a_name_does_not_speak_for_the_next_allocation() {
    const DONE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n\
        {\"id\":\"1\",\"state\":\"done\",\"result\":\"xyz\"}";
    const NOT_STARTED: &[u8] = b"HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
    for (effect, expected) in
        [("safe", Outcome::Rejected), ("keyed", Outcome::Completed), ("unsafe", Outcome::Completed)]
    {
        let (executors, mut told) = executors_for(effect, Duration::ZERO);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        executors.set_endpoint(executor(), endpoint(listener.local_addr().ok(), None, true));
        let (cut, stop) = (Instant::now() + Duration::from_secs(60), Rc::default());
        let run =
            || executors.clone().dispatch(push(&executors, &in_flight(), &stop, Instant::now(), [cut; 2]));
        let answers = async {
            let (mut one, _) = listener.accept().await.unwrap();
            assert!(one.read(&mut [0; 1000]).await.unwrap() > 0);
            one.write_all(DONE).await.unwrap();
            if effect == "safe" {
                assert!(one.read(&mut [0; 1000]).await.unwrap() > 0);
                one.write_all(NOT_STARTED).await.unwrap();
                // What may still run there is broken off.
                return assert_eq!(one.read(&mut [0]).await.unwrap_or(0), 0);
            }
            let (mut other, _) = listener.accept().await.unwrap();
            assert!(other.read(&mut [0; 1000]).await.unwrap() > 0);
            one.write_all(NOT_STARTED).await.unwrap();
            other.write_all(DONE).await.unwrap();
        };
        let both = async { tokio::join!(answers, async { (run().await, run().await) }) };
        assert!(timeout(Duration::from_secs(4), both).await.is_ok(), "{effect}: it is over");
        for expected in [Outcome::Completed, expected] {
            let Some(NodeEvent::Core(CoreEvent::AttemptEnded { outcome, .. })) = told.recv().await else {
                panic!()
            };
            assert_eq!(outcome, expected, "{effect}");
        }
    }
}
