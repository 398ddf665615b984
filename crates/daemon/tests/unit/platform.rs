//! The watch of the platform's discovery service: how soon a source that stops responding is noticed.
use super::*;
use crate::config::limits::{LimitInputs, Limits};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

fn new_watcher(
    discovery: SocketAddr,
) -> (PlatformWatcher, mpsc::Receiver<NodeEvent>, watch::Sender<SocketAddr>) {
    let (_, codec) = Codec::with_deadline_us(5_000_000);
    let connect_timeout = Some(Duration::from_secs(3));
    let inputs = LimitInputs { memory_mb: 64, max_sockets: 128, connect_timeout, ..LimitInputs::default() };
    let (events, received) = mpsc::channel(16);
    let (address_sender, address) = watch::channel(discovery);
    let limits = Rc::new(Limits::new(&inputs));
    let updates = EndpointUpdateSender::unmerged(events);
    let retention = Retention::for_node("n0");
    let watcher = PlatformWatcher { address, limits, codec, updates, requests: Rc::default(), retention };
    (watcher, received, address_sender)
}

/// How a source responds to one watch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Source {
    /// Answers 503.
    Rejects,
    /// Closes the connection after the request.
    Resets,
    /// Accepts the connection and sends nothing.
    Silent,
    /// Sends the head and no more.
    HeadOnly,
    /// Sends the start of an object, then a line of it every two seconds.
    Drips,
    /// Sends an indented list, then keep-alives.
    Indented,
    /// As `Indented`, without keep-alives.
    ListOnly,
    /// As `Indented`, of a version lower than the current one.
    Older,
}
use Source::*;

/// Serves one watch as `source` states, and never returns.
async fn serve(source: Source, listener: &TcpListener) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut request = [0; 1024];
    assert!(stream.read(&mut request).await.unwrap() > 0);
    if source == Rejects {
        stream.write_all(b"HTTP/1.1 503 Busy\r\n\r\n").await.unwrap();
    }
    if source == Resets {
        drop(stream);
        return std::future::pending().await;
    }
    if !matches!(source, Silent | Rejects) {
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
    }
    if matches!(source, Indented | ListOnly | Older) {
        let list = b"{\n \"version\": 8,\n \"full\": true,\n \"servers\": [\n ]\n}\n";
        stream.write_all(list).await.unwrap();
    }
    if source == Drips {
        stream.write_all(b"{\n").await.unwrap();
    }
    let repeated: &[u8] = match source {
        Drips => b" \"version\":\n",
        Indented | Older => b"\n",
        _ => return std::future::pending().await,
    };
    loop {
        sleep(Duration::from_secs(2)).await;
        if stream.write_all(repeated).await.is_err() {
            return std::future::pending().await;
        }
    }
}

/// The clock is paused and advances only when all tasks wait, so that long timeouts take no time.
#[tokio::test(start_paused = true)]
async fn a_source_that_stops_responding_at_any_point_is_noticed_in_time() {
    let local = tokio::task::LocalSet::new();
    for (source, lists, max_seconds) in [
        (Silent, 0, 2.3),
        (Rejects, 0, 1.0),
        (Resets, 0, 1.0),
        (HeadOnly, 0, 4.0),
        (Drips, 0, 4.0),
        (ListOnly, 1, 4.0),
        (Older, 0, 2.2),
        (Indented, 1, 60.0),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (watcher, mut received, _address) = new_watcher(listener.local_addr().unwrap());
        let cached_version = (source == Older).then_some(100);
        let (start, mut versions) = (Instant::now(), VersionFilter::new(cached_version));
        let watched = async {
            tokio::select! {
                Err(error) = watcher.watch(*watcher.address.borrow(), &mut versions) => Some(error),
                () = serve(source, &listener) => None,
                () = sleep(Duration::from_secs(60)) => None,
            }
        };
        let error = local.run_until(watched).await;
        let (elapsed, mut snapshots) = (start.elapsed().as_secs_f64(), 0);
        while let Ok(event) = received.try_recv() {
            snapshots += usize::from(
                matches!(event, NodeEvent::ListReceived(list) if list.update_type == ListUpdate::Snapshot),
            );
        }
        assert_eq!((snapshots, error.is_none()), (lists, source == Indented), "{source:?}: {error:?}");
        assert!(elapsed <= max_seconds, "{source:?}: it ended after {elapsed} s");
        let is_rejection = error.is_some_and(|error| error.is_rejection());
        assert_eq!(is_rejection, matches!(source, Rejects | Resets), "{source:?}");
    }
}
