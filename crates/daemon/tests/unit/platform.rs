//! The watch of the platform's list: which versions are news, and when a source counts as silent.
use super::*;
use crate::config::limits::{LimitInputs, Limits};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::sleep;

#[test]
fn lists_that_repeat_or_are_old_are_passed_over() {
    use ListUpdate::{Delta, Snapshot};
    let mut versions = Versions { known: Some(10), ..Versions::default() };
    for (version, full, first, expected) in [
        (10, true, true, Some(Snapshot)),
        (9, true, false, None),
        (10, false, false, None),
        (11, false, false, Some(Delta)),
        (11, true, false, None),
        (4, false, true, None),
        (4, true, true, None),
        (4, true, true, None),
        (4, true, true, Some(Snapshot)),
        (5, false, false, Some(Delta)),
    ] {
        let list = EndpointList { version, full, entries: Vec::new(), beyond: 0 };
        assert_eq!(versions.take(&list, first), expected, "{version} {full} {first}");
    }
}

fn follower(at: SocketAddr) -> (Follower, mpsc::Receiver<NodeEvent>, watch::Sender<SocketAddr>) {
    let (_, codec) = Codec::of_one_type(5_000_000);
    let wait = Some(Duration::from_secs(3));
    let stated =
        LimitInputs { memory_mb: 64, max_sockets: 128, connect_timeout: wait, ..LimitInputs::default() };
    let (events, heard) = mpsc::channel(16);
    let (moves, discovery) = watch::channel(at);
    let limits = Rc::new(Limits::new(&stated));
    let (told, ask, retention) =
        (EndpointUpdateSender::alone(events), Rc::default(), Retention::of_node("n0"));
    (Follower { discovery, limits, codec, told, ask, retention }, heard, moves)
}

/// What an agent does with one watch.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Agent {
    /// Answers 503.
    TurnsAway,
    /// Ends the connection once it is asked.
    Resets,
    /// Takes the connection and says nothing.
    Silent,
    /// Says the head and no more.
    HeadAlone,
    /// An object's begin, then a piece of it now and then, a line each.
    Drips,
    /// An indented list, then signs of life.
    Indented,
    /// As `Indented`, and no more sign of life.
    ThenSilent,
    /// As `Indented`, of a version under the one held.
    Older,
}
use Agent::*;

/// The clock stands still until nothing else is left to do, so that long waits take no time.
#[tokio::test(start_paused = true)]
async fn a_watch_that_is_silent_at_any_point_is_noticed_in_time() {
    let local = tokio::task::LocalSet::new();
    for (agent, lists, latest) in [
        (Silent, 0, 2.3),
        (TurnsAway, 0, 1.0),
        (Resets, 0, 1.0),
        (HeadAlone, 0, 4.0),
        (Drips, 0, 4.0),
        (ThenSilent, 1, 4.0),
        (Older, 0, 2.2),
        (Indented, 1, 60.0),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (follower, mut heard, _moves) = follower(listener.local_addr().unwrap());
        let serve = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut asked = [0; 1024];
            assert!(stream.read(&mut asked).await.unwrap() > 0);
            if agent == TurnsAway {
                stream.write_all(b"HTTP/1.1 503 Busy\r\n\r\n").await.unwrap();
            }
            if agent == Resets {
                drop(stream);
                return std::future::pending().await;
            }
            if !matches!(agent, Silent | TurnsAway) {
                stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
            }
            if matches!(agent, Indented | ThenSilent | Older) {
                let list = b"{\n \"version\": 8,\n \"full\": true,\n \"servers\": [\n ]\n}\n";
                stream.write_all(list).await.unwrap();
            }
            if agent == Drips {
                stream.write_all(b"{\n").await.unwrap();
            }
            let said: &[u8] = match agent {
                Drips => b" \"version\":\n",
                Indented | Older => b"\n",
                _ => return std::future::pending().await,
            };
            loop {
                sleep(Duration::from_secs(2)).await;
                if stream.write_all(said).await.is_err() {
                    return std::future::pending().await;
                }
            }
        };
        let known = (agent == Older).then_some(100);
        let (start, mut versions) = (Instant::now(), Versions { known, ..Versions::default() });
        let watched = async {
            tokio::select! {
                ended = follower.watch(*follower.discovery.borrow(), &mut versions) => Some(ended),
                () = serve => None,
                () = sleep(Duration::from_secs(60)) => None,
            }
        };
        let ended = local.run_until(watched).await;
        let (took, mut told) = (start.elapsed().as_secs_f64(), 0);
        while let Ok(event) = heard.try_recv() {
            told += usize::from(
                matches!(event, NodeEvent::ListReceived(list) if list.kind == ListUpdate::Snapshot),
            );
        }
        assert_eq!((told, ended.is_none()), (lists, agent == Indented), "{agent:?}: {ended:?}");
        assert!(took <= latest, "{agent:?}: it ended after {took} s");
        let turned_away = ended.is_some_and(|ended| ended.unwrap_err().turned_away);
        assert_eq!(turned_away, matches!(agent, TurnsAway | Resets), "{agent:?}");
    }
}

/// One that is asked for anew is asked for in every watch until it comes, and then no more.
#[test]
fn a_whole_list_is_wanted_until_it_comes() {
    let mut versions = Versions { known: Some(10), whole_wanted: true, ..Versions::default() };
    let list = |version, full| EndpointList { version, full, entries: Vec::new(), beyond: 0 };
    assert_eq!(versions.take(&list(11, false), true), Some(ListUpdate::Delta));
    assert_eq!(versions.take(&list(9, true), true), None, "an old one does not do");
    assert!(versions.whole_wanted);
    assert_eq!(versions.take(&list(11, true), true), Some(ListUpdate::Snapshot));
    assert!(!versions.whole_wanted);
}
