//! Clients on loopback, and a driver that the test plays.
use super::*;
use std::io::{Read, Write};

/// The clock stands still until nothing else is left to do, so that long waits take no time.
#[tokio::test(start_paused = true)]
async fn half_sent_requests_time_out_and_idle_connections_end() {
    let (_, codec) = Codec::of_one_type(5_000_000);
    let stated = crate::config::limits::LimitInputs { memory_mb: 64, max_sockets: 128, ..Default::default() };
    let limits = Rc::new(Limits::new(&stated));
    let (events, mut told) = mpsc::channel(16);
    let lifecycle = crate::lifecycle::Lifecycle::new();
    lifecycle.update(|facts| facts.is_listed = true);
    let clients = DownstreamServer::new(DownstreamContext {
        limits,
        codec,
        events,
        lifecycle: lifecycle.watch(),
        status: Rc::default(),
        durable_config: None,
        sibling: Rc::default(),
    });
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
            clients.take(stream, false);
            while clients.connection_count() > 0 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        let whole_test = Duration::from_secs(300);
        timeout(whole_test, local.run_until(serve)).await.expect("the connection ends");
        let mut got = vec![0; expected.len()];
        client.read_exact(&mut got).unwrap();
        assert_eq!(String::from_utf8(got).unwrap(), expected, "{sent}");
    }
    assert!(matches!(told.try_recv(), Ok(NodeEvent::RequestArrived(in_flight)) if in_flight.is_over()));
    assert!(matches!(told.try_recv(), Ok(NodeEvent::ClientLeft(_))));
}

/// Until the list has come, what arrives waits at the door, though not for long; a client that leaves
/// meanwhile is never heard of.
#[tokio::test(start_paused = true)]
async fn work_that_comes_before_the_list_waits_for_it() {
    for comes in [true, false] {
        before_the_list(comes).await;
    }
}

async fn before_the_list(comes: bool) {
    let (_, codec) = Codec::of_one_type(5_000_000);
    let stated = crate::config::limits::LimitInputs { memory_mb: 64, max_sockets: 128, ..Default::default() };
    let limits = Rc::new(Limits::new(&stated));
    let (events, mut told) = mpsc::channel(16);
    let lifecycle = crate::lifecycle::Lifecycle::new();
    let clients = DownstreamServer::new(DownstreamContext {
        limits,
        codec,
        events,
        lifecycle: lifecycle.watch(),
        status: Rc::default(),
        durable_config: None,
        sibling: Rc::default(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let send = |id: &str| {
        let mut client = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        write!(client, "POST /render HTTP/1.1\r\nHost: a\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n")
            .unwrap();
        client
    };
    let play = async {
        let (_stays, leaves) = (send("stays"), send("leaves"));
        for _ in 0..2 {
            let (stream, _) = listener.accept().await.unwrap();
            clients.take(stream, false);
        }
        sleep(Duration::from_millis(50)).await;
        assert_eq!(clients.ids.borrow().len(), 2, "both are taken");
        assert!(told.try_recv().is_err(), "nothing is decided before the list has come");
        drop(leaves);
        while clients.connection_count() > 1 {
            sleep(Duration::from_millis(10)).await;
        }
        if comes {
            lifecycle.update(|facts| facts.is_listed = true);
        }
        let mut arrived = Vec::new();
        while let Ok(Some(event)) = timeout(Duration::from_millis(500), told.recv()).await {
            if let NodeEvent::RequestArrived(in_flight) = event {
                arrived.push(in_flight.request.id.clone());
            }
        }
        assert_eq!(arrived, ["stays"], "the list comes: {comes}");
    };
    tokio::task::LocalSet::new().run_until(play).await;
}
