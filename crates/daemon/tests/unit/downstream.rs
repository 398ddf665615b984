//! The downstream side against clients on loopback sockets; the tests take the place of the driver.
use super::admission::ConnectionAdmission;
use super::*;
use crate::config::limits::LimitInputs;
use crate::lifecycle::Lifecycle;
use std::io::{Read, Write};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout};

/// A server without durable requests, and the events that its driver receives.
fn new_server(lifecycle: &Lifecycle) -> (Rc<DownstreamServer>, mpsc::Receiver<NodeEvent>) {
    let (_, codec) = Codec::with_deadline_us(5_000_000);
    let inputs = LimitInputs { memory_mb: 64, max_sockets: 128, ..LimitInputs::default() };
    let (events, received) = mpsc::channel(16);
    let server = DownstreamServer::new(DownstreamContext {
        limits: Rc::new(Limits::new(&inputs)),
        codec,
        events,
        lifecycle: lifecycle.watch(),
        discovery_status: Rc::default(),
        durable_config: None,
        sibling: Rc::default(),
        tasks: TaskGroup::default(),
    });
    (server, received)
}

/// The clock is paused and advances whenever all tasks wait, so that long timeouts take no time.
#[tokio::test(start_paused = true)]
async fn incomplete_and_unanswered_requests_and_idle_connections_time_out() {
    let lifecycle = Lifecycle::new();
    lifecycle.update(|conditions| conditions.has_endpoint_list = true);
    let (server, mut received) = new_server(&lifecycle);
    let complete = "POST /render HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nConnection: close\r\n\
                 Content-Length: 2\r\n\r\nab";
    let local = tokio::task::LocalSet::new();
    for (sent, expected) in [
        ("", ""),
        (&complete[..9], "HTTP/1.1 408"),
        (&complete[..complete.len() - 1], "HTTP/1.1 408"),
        // The driver does not answer, so the session answers before the client's timeout.
        (complete, "HTTP/1.1 502"),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        client.write_all(sent.as_bytes()).unwrap();
        let server = &server;
        let serve = async {
            let (stream, _) = listener.accept().await.unwrap();
            server.spawn_session(stream, ConnectionAdmission::Admitted);
            while server.connection_count() > 0 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let test_timeout = Duration::from_secs(300);
        timeout(test_timeout, local.run_until(serve)).await.expect("the connection ends");
        let mut response = vec![0; expected.len()];
        client.read_exact(&mut response).unwrap();
        assert_eq!(String::from_utf8(response).unwrap(), expected, "{sent}");
    }
    assert!(matches!(received.try_recv(), Ok(NodeEvent::RequestArrived(in_flight)) if in_flight.is_closed()));
    assert!(matches!(received.try_recv(), Ok(NodeEvent::ClientDisconnected(_))));
}

/// Requests that arrive before the first endpoint list wait for it, for a bounded time. The driver never receives
/// the request of a client that disconnects meanwhile.
#[tokio::test(start_paused = true)]
async fn requests_wait_for_the_first_endpoint_list_for_a_bounded_time() {
    for list_arrives in [true, false] {
        assert_request_waits_for_list(list_arrives).await;
    }
}

async fn assert_request_waits_for_list(list_arrives: bool) {
    let lifecycle = Lifecycle::new();
    let (server, mut received) = new_server(&lifecycle);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let send = |id: &str| {
        let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        write!(client, "POST /render HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        client
    };
    let test = async {
        let (_connected, disconnects) = (send("stays"), send("leaves"));
        for _ in 0..2 {
            let (stream, _) = listener.accept().await.unwrap();
            server.spawn_session(stream, ConnectionAdmission::Admitted);
        }
        sleep(Duration::from_millis(50)).await;
        assert_eq!(server.request_ids.open_count(), 2, "both are admitted");
        assert!(received.try_recv().is_err(), "the driver receives nothing before the list");
        drop(disconnects);
        while server.connection_count() > 1 {
            sleep(Duration::from_millis(10)).await;
        }
        if list_arrives {
            lifecycle.update(|conditions| conditions.has_endpoint_list = true);
        }
        let mut arrived = Vec::new();
        while let Ok(Some(event)) = timeout(Duration::from_millis(500), received.recv()).await {
            if let NodeEvent::RequestArrived(in_flight) = event {
                arrived.push(in_flight.request.id.clone());
            }
        }
        assert_eq!(arrived, ["stays"], "the list arrives: {list_arrives}");
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
