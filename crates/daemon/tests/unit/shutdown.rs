//! A graceful shutdown while a client connects.
use super::*;
use crate::config::limits::LimitInputs;
use crate::downstream::DownstreamContext;
use crate::in_flight::Answer;
use crate::lifecycle::LifecycleState;
use crate::protocol::Codec;
use crate::tasks::TaskGroup;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

/// A client connects just before the shutdown counts the open connections for the last time; its request must still
/// be served.
#[tokio::test]
async fn a_connection_accepted_while_the_last_one_closes_is_served() {
    use std::io::{Read, Write};
    let (_, codec) = Codec::with_deadline_us(100_000);
    let max_deadline = Duration::from_millis(100);
    let limits = Rc::new(Limits::new(&LimitInputs {
        memory_mb: 64,
        max_sockets: 128,
        max_deadline,
        ..LimitInputs::default()
    }));
    let (events, mut received_events) = mpsc::channel(16);
    let lifecycle = Rc::new(Lifecycle::new());
    lifecycle.update(|conditions| conditions.has_endpoint_list = true);
    let downstream = DownstreamServer::new(DownstreamContext {
        limits: limits.clone(),
        codec,
        events: events.clone(),
        lifecycle: lifecycle.watch(),
        discovery_status: Rc::default(),
        durable_config: None,
        sibling: Rc::default(),
        tasks: TaskGroup::default(),
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let mut state = lifecycle.watch();
    let test = async {
        spawn_local(downstream.clone().accept(listener, ListenerOrigin::Bound));
        let client = async {
            state.wait_for(|state| *state == LifecycleState::Closing).await.unwrap();
            let mut client = std::net::TcpStream::connect(addr).unwrap();
            let request = "POST /render HTTP/1.1\r\nHost: a\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n";
            client.write_all(request.as_bytes()).unwrap();
            let Some(NodeEvent::RequestArrived(in_flight)) = received_events.recv().await else {
                panic!("the request is not accepted")
            };
            assert!(in_flight.answer(Answer::Completed("done".into())));
            client
        };
        let shutdown = GracefulShutdown {
            limits: limits.clone(),
            downstream: downstream.clone(),
            lifecycle: lifecycle.clone(),
            events: events.clone(),
            listener_origin: ListenerOrigin::Bound,
        };
        let shutdown = shutdown.run();
        let both = async { tokio::join!(client, shutdown).0 };
        timeout(Duration::from_secs(4), both).await.expect("the request is served and the node ends")
    };
    let mut client = LocalSet::new().run_until(test).await;
    let mut response = String::new();
    client.read_to_string(&mut response).unwrap();
    assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("done"), "{response}");
}
