//! Builds a node from its configuration and runs it until a shutdown is requested.
mod builder;
pub mod check;
mod discovery;
mod ledger;
mod shared;
mod startup;

use crate::config::node::NodeConfig;
use crate::downstream::{DownstreamServer, ListenerOrigin};
use crate::error::NodeError;
use crate::hot_restart::inherited_socket;
use crate::lifecycle::Lifecycle;
use crate::shutdown::GracefulShutdown;
use builder::{HotRestart, NodeBuilder};
use shared::Shared;
use startup::{Configuration, Listeners, Signals, open_gossip_socket};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::{JoinError, JoinHandle, LocalSet};
use tokio::time::sleep;
use troutknot_clock::Clock;

/// Runs a node on this thread until SIGTERM or SIGINT, and then shuts it down gracefully.
///
/// `path` is the path of the node file, a JSON file that is reloaded at SIGHUP.
///
/// # Errors
/// If the node cannot start, or stopped because of an internal error.
pub fn start(path: &Path) -> Result<(), NodeError> {
    // Must precede everything that opens a descriptor, which could get the number of the inherited one.
    let descriptor = std::env::var(inherited_socket::DESCRIPTOR_VARIABLE).ok();
    let inherited_listener = inherited_socket::take_listener(descriptor.as_deref())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(NodeError::Runtime)?;
    // Must precede the reading of the configuration, so that a signal that arrives during it is handled once the node
    // runs.
    let signals = runtime.block_on(async { Signals::listen() })?;
    let config = NodeConfig::read(path)?;
    LocalSet::new().block_on(&runtime, run(config, path.to_owned(), inherited_listener, signals))
}

async fn run(
    config: NodeConfig,
    path: PathBuf,
    inherited_listener: Option<std::net::TcpListener>,
    signals: Signals,
) -> Result<(), NodeError> {
    let mut configuration = Configuration::resolve(config, path)?;
    let listener_origin = ListenerOrigin::of(inherited_listener.as_ref());
    let gossip = open_gossip_socket(&configuration.operator, listener_origin)?;
    let limits = Rc::new(configuration.limits(listener_origin));
    let listeners = Listeners::open(&configuration.node, inherited_listener, limits.listen_backlog)?;
    let clock = Clock::start();
    let hot_restart = HotRestart::begin(&mut configuration, &limits, listener_origin).await;
    let (events, received_events) = mpsc::channel(limits.event_queue_capacity);
    let shared = Shared::new(limits, configuration.codec.clone(), clock, events);
    let builder = NodeBuilder::new(configuration, shared, gossip);
    let node = builder.build(received_events, listeners, hot_restart, signals.reload)?;
    node.run(signals.terminate, signals.interrupt).await
}

/// A running node.
struct Node {
    shared: Shared,
    downstream: Rc<DownstreamServer>,
    driver: JoinHandle<()>,
    listener_origin: ListenerOrigin,
}

impl Node {
    /// Serves until a signal requests a shutdown, then shuts down.
    async fn run(mut self, mut terminate: Signal, mut interrupt: Signal) -> Result<(), NodeError> {
        self.serve(&mut terminate, &mut interrupt).await?;
        tracing::info!(connections = self.downstream.connection_count(), "shutdown requested");
        let shutdown = GracefulShutdown {
            limits: self.shared.limits.clone(),
            downstream: self.downstream.clone(),
            lifecycle: self.shared.lifecycle.clone(),
            events: self.shared.events.clone(),
            listener_origin: self.listener_origin,
        };
        tokio::select! {
            result = &mut self.driver => return Err(driver_stopped(result)),
            () = shutdown.run() => {}
        }
        self.stop_tasks().await;
        Ok(())
    }

    async fn serve(&mut self, terminate: &mut Signal, interrupt: &mut Signal) -> Result<(), NodeError> {
        let list_timeout = sleep(self.shared.limits.cached_list_after);
        tokio::pin!(list_timeout);
        loop {
            tokio::select! {
                result = &mut self.driver => return Err(driver_stopped(result)),
                _ = terminate.recv() => return Ok(()),
                _ = interrupt.recv() => return Ok(()),
                () = &mut list_timeout, if !list_timeout.is_elapsed() => {
                    serve_from_cached_list(&self.shared.lifecycle);
                }
            }
        }
    }

    async fn stop_tasks(self) {
        self.driver.abort();
        let _ = self.driver.await;
        self.shared.tasks.shutdown().await;
    }
}

fn serve_from_cached_list(lifecycle: &Lifecycle) {
    if !lifecycle.conditions().has_endpoint_list {
        tracing::warn!("no endpoint list received yet, serving by the cached one");
        lifecycle.update(|conditions| conditions.has_endpoint_list = true);
    }
}

fn driver_stopped(result: Result<(), JoinError>) -> NodeError {
    NodeError::DriverStopped(result.err())
}
