//! The listening socket, and the end of a node while a client connects.
use super::*;

#[tokio::test]
async fn a_burst_of_connections_waits_to_be_accepted() {
    let listener = listen(([127, 0, 0, 1], 0).into(), 1024).unwrap();
    let addr = listener.local_addr().unwrap();
    // Nobody accepts meanwhile; a connection that the queue has no room for comes up a second late, or never.
    let wait = Duration::from_millis(900);
    let connect = |_| std::net::TcpStream::connect_timeout(&addr, wait).unwrap();
    let _burst: Vec<_> = (0..300).map(connect).collect();
}

/// A client that connects in the very moment in which the last count of connections comes out as none.
#[tokio::test]
async fn a_connection_that_comes_up_as_the_last_one_is_counted_is_served() {
    use std::io::{Read, Write};
    let (_, codec) = Codec::of_one_type(100_000);
    let longest = Duration::from_millis(100);
    let limits = Rc::new(Limits::new(&LimitInputs {
        memory_mb: 64,
        max_sockets: 128,
        max_deadline: longest,
        ..LimitInputs::default()
    }));
    let (events, mut told) = mpsc::channel(16);
    let lifecycle = Lifecycle::new();
    lifecycle.update(|facts| facts.is_listed = true);
    let clients = DownstreamServer::new(DownstreamContext {
        limits: limits.clone(),
        codec,
        events: events.clone(),
        lifecycle: lifecycle.watch(),
        status: Rc::default(),
        durable_config: None,
        sibling: Rc::default(),
    });
    let listener = listen(([127, 0, 0, 1], 0).into(), 16).unwrap();
    let addr = listener.local_addr().unwrap();
    let mut staged = lifecycle.watch();
    let ended = async {
        spawn_local(clients.clone().accept(listener, ListenerOrigin::Bound));
        let comes = async {
            staged.wait_for(|stage| *stage == lifecycle::LifecycleState::Closing).await.unwrap();
            let mut client = std::net::TcpStream::connect(addr).unwrap();
            let work = "POST /render HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n";
            client.write_all(work.as_bytes()).unwrap();
            let Some(NodeEvent::RequestArrived(in_flight)) = told.recv().await else {
                panic!("it is not taken")
            };
            assert!(in_flight.answer(in_flight::Answer::Completed("done".into())));
            client
        };
        let ends = end(&limits, &clients, &lifecycle, &events, false);
        let both = async { tokio::join!(comes, ends).0 };
        timeout(Duration::from_secs(4), both).await.expect("it is taken and the node ends")
    };
    let mut client = LocalSet::new().run_until(ended).await;
    let mut got = String::new();
    client.read_to_string(&mut got).unwrap();
    assert!(got.starts_with("HTTP/1.1 200") && got.ends_with("done"), "{got}");
}
