//! Processes of nodes: their configuration, their start and their end.
use super::error::WorldError;
use super::node::Node;
use super::{POLL_INTERVAL, World};
use crate::node_config;
use crate::node_process::{LaunchOptions, NodeProcess, NodeSignal};
use serde_json::Value;
use std::collections::HashMap;
use std::net::TcpListener;
use std::path::Path;
use std::rc::Rc;
use tokio::time::sleep;
use troutknot_emulator::observations::{ListedState, NodeNumber, Observation};

impl World {
    /// Writes a node's configuration and returns the endpoint list that it contains.
    pub(super) fn write_config(&self, number: usize) -> Result<Value, WorldError> {
        let nodes = self.nodes.borrow();
        let node = &nodes[number];
        let cached_list = node.endpoint_list.cached_list(&self.listed.borrow());
        let seed = self.plan.seed ^ (number as u64) << 32 ^ node.starts << 48;
        let discovery = node.endpoint_list.discovery_address();
        let mut config =
            node_config::config(&self.scenario, number, node.address, discovery, seed, cached_list.clone());
        config["settings"]["limits"]["max_allocations"] = self.max_attempts.get().into();
        write_file(&node.config, &config.to_string())?;
        Ok(cached_list)
    }

    /// Starts a new process of a node. The caller stores it.
    pub(super) fn start_process(&self, number: usize) -> Result<Box<dyn NodeProcess>, WorldError> {
        let cached_list = self.write_config(number)?;
        let mut nodes = self.nodes.borrow_mut();
        let node = &mut nodes[number];
        let log = std::fs::File::options().create(true).append(true).open(&node.log);
        let log = log.map_err(|source| WorldError::Write { path: node.log.clone(), source })?;
        if node.process.is_none() {
            self.observation_log.record(Observation::NodeStarted { node: number as NodeNumber });
        }
        self.record_configured_endpoints(number, &cached_list);
        let has_operator_config = self.write_operator_config(node)?;
        let inherited_socket = match &node.inherited_socket {
            Some((socket, folder)) => Some((socket.try_clone()?, folder.clone())),
            None => None,
        };
        node.admin_address = match self.scenario.has_operator_events() {
            true => Some(
                TcpListener::bind(self.addresses.node(number)).and_then(|listener| listener.local_addr())?,
            ),
            false => None,
        };
        let process = self.launcher.launch(LaunchOptions {
            config: &node.config,
            operator_config: has_operator_config.then_some(node.operator_config.as_path()),
            log,
            admin_address: node.admin_address,
            inherited_socket,
        });
        let process = process.map_err(WorldError::StartNode)?;
        node.starts += 1;
        Ok(process)
    }

    /// Records the endpoints that a process learns from its configuration.
    fn record_configured_endpoints(&self, number: usize, cached_list: &Value) {
        let listed = self.listed.borrow();
        let by_name: HashMap<&str, _> =
            listed.iter().flatten().map(|member| (member.id.as_str(), member.executor)).collect();
        for entry in cached_list["servers"].as_array().into_iter().flatten() {
            let Some(executor) = entry["id"].as_str().and_then(|id| by_name.get(id)) else { continue };
            let state = if entry["state"] == "Ready" { ListedState::Ready } else { ListedState::Terminating };
            self.observation_log.record(Observation::NodeNotified {
                node: number as NodeNumber,
                executor: *executor,
                state,
            });
        }
    }

    /// Writes the operator's file and returns true if the node needs one.
    fn write_operator_config(&self, node: &Node) -> Result<bool, WorldError> {
        let ledger = node.operator_config.with_extension("ledger");
        let Some(text) = node.endpoint_list.operator_config(&self.scenario, &ledger) else {
            return Ok(false);
        };
        write_file(&node.operator_config, &text)?;
        Ok(true)
    }

    /// Kills the processes of a node. One that was asked to end may have done so already.
    pub(super) fn kill_node(&self, number: usize) {
        let mut nodes = self.nodes.borrow_mut();
        let node = &mut nodes[number];
        if let Some(mut previous) = node.previous_process.take() {
            let _ = previous.signal(NodeSignal::Kill);
        }
        let Some(mut process) = node.process.take() else { return };
        if let Some(is_clean) = process.exited_cleanly() {
            self.observation_log.record(Observation::NodeExited { node: number as NodeNumber, is_clean });
            return;
        }
        let usage = process.resource_usage();
        self.observation_log.record(Observation::NodeKilled { node: number as NodeNumber });
        let _ = process.signal(NodeSignal::Kill);
        node.add_usage(usage);
    }

    /// Records processes that end by themselves; runs until it is dropped.
    pub(super) async fn monitor_nodes(self: Rc<Self>) {
        loop {
            for (number, node) in self.nodes.borrow_mut().iter_mut().enumerate() {
                let Some(process) = &mut node.process else { continue };
                let usage = process.resource_usage();
                if let Some(is_clean) = process.exited_cleanly() {
                    self.observation_log
                        .record(Observation::NodeExited { node: number as NodeNumber, is_clean });
                    node.process = None;
                    node.add_usage(usage);
                }
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

fn write_file(path: &Path, text: &str) -> Result<(), WorldError> {
    std::fs::write(path, text).map_err(|source| WorldError::Write { path: path.into(), source })
}

/// Rewrites a configuration so that it has another attempt limit and lacks a required key.
pub(super) fn break_config(config: &Path, max_attempts: u32) -> std::io::Result<()> {
    let mut broken: Value = serde_json::from_str(&std::fs::read_to_string(config)?)?;
    broken["settings"]["limits"]["max_allocations"] = max_attempts.into();
    if let Some(settings) = broken["settings"].as_object_mut() {
        settings.remove("contract");
    }
    std::fs::write(config, broken.to_string())
}
