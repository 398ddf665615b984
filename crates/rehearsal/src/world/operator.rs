//! Operator actions: calls of the admin interface, and hot restarts.
use super::{POLL_INTERVAL, World};
use crate::node_process::NodeSignal;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use troutknot_emulator::front::check_health;
use troutknot_emulator::observations::{ExecutorNumber, NodeNumber, Observation};

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between the drain of a node and the check of its health.
const DRAIN_SETTLE_TIME: Duration = Duration::from_secs(4);
/// Time between the activation of a node and the check of its health.
const ACTIVATE_SETTLE_TIME: Duration = Duration::from_secs(2);
/// How long the new process of a hot restart may take to become ready.
const HOT_RESTART_READY_TIMEOUT: Duration = Duration::from_secs(6);

impl World {
    /// Calls the admin interface of a node; records the call if it does not succeed in time.
    async fn call(&self, number: usize, path: &str) {
        let admin_address = self.nodes.borrow()[number].admin_address;
        let status = match admin_address {
            Some(address) => timeout(CALL_TIMEOUT, send(address, "PUT", path)).await.ok().flatten(),
            None => None,
        };
        if !status.is_some_and(|status| (200..300).contains(&status)) {
            self.observation_log.record(Observation::AdminCallFailed { node: number as NodeNumber, status });
        }
    }

    /// Suspends an executor at a node, or resumes it.
    pub(super) async fn set_suspended(self: Rc<Self>, number: usize, executor: usize, suspended: bool) {
        let host = self.hosts.borrow()[executor].clone();
        let name = host.map(|host| host.name.clone()).unwrap_or_default();
        let (node, executor) = (number as NodeNumber, executor as ExecutorNumber);
        let change = Observation::ExecutorSuspended { node, executor, suspended };
        // A resumed executor may get requests as soon as the call is sent.
        if !suspended {
            self.observation_log.record(change.clone());
        }
        let action = if suspended { "suspend" } else { "resume" };
        self.call(number, &format!("/v1/executors/{name}/{action}")).await;
        if suspended {
            self.observation_log.record(change);
        }
    }

    /// Drains a node, or activates it, and records its health check some time later.
    pub(super) async fn set_drained(self: Rc<Self>, number: usize, drained: bool) {
        let node = number as NodeNumber;
        // An activated node may accept requests as soon as the call is sent.
        if !drained {
            self.observation_log.record(Observation::NodeDrained { node, drained });
        }
        self.call(number, if drained { "/v1/node/drain" } else { "/v1/node/activate" }).await;
        if drained {
            self.observation_log.record(Observation::NodeDrained { node, drained });
        }
        sleep(if drained { DRAIN_SETTLE_TIME } else { ACTIVATE_SETTLE_TIME }).await;
        let address = self.nodes.borrow()[number].address;
        let status = timeout(CALL_TIMEOUT, check_health(address)).await.ok().flatten();
        self.observation_log.record(Observation::HealthChecked { node, status });
    }

    /// Starts the next process of a node and terminates the previous one when the next is ready or has failed to become
    /// ready in time.
    pub(super) async fn hot_restart(self: Rc<Self>, number: usize) {
        let node = number as NodeNumber;
        if self.nodes.borrow()[number].process.is_none() {
            return;
        }
        self.observation_log.record(Observation::HotRestartBegan { node });
        let next = match self.start_process(number) {
            Ok(next) => next,
            Err(error) => return eprintln!("node n{number} cannot be hot restarted: {error}"),
        };
        let admin_address = {
            let mut nodes = self.nodes.borrow_mut();
            let node = &mut nodes[number];
            node.previous_process = node.process.replace(next);
            node.admin_address
        };
        if !becomes_ready(admin_address).await {
            self.observation_log.record(Observation::AdminCallFailed { node, status: None });
        }
        if let Some(previous) = &mut self.nodes.borrow_mut()[number].previous_process {
            let _ = previous.signal(NodeSignal::Terminate);
        }
        let deadline = Instant::now() + self.scenario.termination_grace();
        sleep(POLL_INTERVAL).await;
        while !self.reap_previous_process(number, deadline) {
            sleep(POLL_INTERVAL).await;
        }
        self.observation_log.record(Observation::HotRestartEnded { node });
    }

    /// Removes the previous process if it has ended, or kills it after the deadline. Returns whether it is gone.
    fn reap_previous_process(&self, number: usize, deadline: Instant) -> bool {
        let mut nodes = self.nodes.borrow_mut();
        let node = &mut nodes[number];
        let Some(previous) = &mut node.previous_process else { return true };
        let usage = previous.resource_usage();
        let exited_cleanly = previous.exited_cleanly();
        if exited_cleanly.is_none() && Instant::now() < deadline {
            return false;
        }
        if exited_cleanly == Some(false) {
            self.observation_log
                .record(Observation::NodeExited { node: number as NodeNumber, is_clean: false });
        }
        let _ = previous.signal(NodeSignal::Kill);
        node.previous_process = None;
        node.add_usage(usage);
        true
    }
}

/// Polls a process until it is ready; false if it has no admin interface or is not ready in time.
async fn becomes_ready(admin_address: Option<SocketAddr>) -> bool {
    let Some(address) = admin_address else { return false };
    let deadline = Instant::now() + HOT_RESTART_READY_TIMEOUT;
    while Instant::now() <= deadline {
        let status = timeout(CALL_TIMEOUT, send(address, "GET", "/v1/readyz")).await.ok().flatten();
        sleep(POLL_INTERVAL).await;
        if status == Some(200) {
            return true;
        }
    }
    false
}

/// Sends one request without a body and returns the status of the response; `None` if the connection fails.
async fn send(to: SocketAddr, method: &str, path: &str) -> Option<u16> {
    let stream = TcpStream::connect(to).await.ok()?;
    let (mut sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    let connection = spawn_local(connection);
    let request = Request::builder().method(method).uri(path).header("host", to.to_string());
    let response = sender.send_request(request.body(Empty::<Bytes>::new()).ok()?).await.ok();
    connection.abort();
    response.map(|response| response.status().as_u16())
}
