//! Load of hollow nodes on the executors and on discovery, in addition to the real nodes of a cluster.
use super::{Cluster, IoContext, LIST_TIMEOUT, RunError};
use crate::discovery::Agent;
use crate::file::ScaleFile;
use crate::hollow_nodes::{Counts, HollowNodes, Settings};
use crate::row::{Measurement, NodeKind, OperatingPoint};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Upper limit of the requests per second of all hollow nodes together, which one machine can run in addition to the
/// rest of the kit. If the operating point asks for more, the limit is divided equally among the hollow nodes.
const MAX_TOTAL_HOLLOW_RATE: f64 = 2000.0;
/// Upper limit of the load of all hollow nodes, as a share of the capacity of a fleet in slow start. Keeps the hollow
/// nodes from overloading a small fleet.
const MAX_SHARE_OF_SLOW_START_CAPACITY: f64 = 0.25;

/// Running hollow nodes; they are stopped on drop.
pub(super) struct HollowLoad {
    nodes: HollowNodes,
    /// Upper limit of the requests per second of each node.
    max_rate: f64,
    /// Discovery agents that send the endpoint list to the nodes.
    _agents: Vec<Rc<Agent>>,
}

/// Counters of the hollow nodes at one instant.
pub(super) struct HollowSnapshot {
    taken_at: Instant,
    by_dispatcher: Counts,
    by_rates: Counts,
}

impl HollowLoad {
    /// Sets the requests per second of each node, limited to what the machine and the fleet can carry.
    pub(super) fn set_rate(&self, rate: f64) {
        self.nodes.set_request_rate(rate.min(self.max_rate));
    }

    /// Restarts one hollow node.
    pub(super) fn restart(&self, number: usize) {
        self.nodes.restart(number);
    }

    pub(super) fn snapshot(&self) -> HollowSnapshot {
        HollowSnapshot {
            taken_at: Instant::now(),
            by_dispatcher: self.nodes.counts(NodeKind::HollowByDispatcher),
            by_rates: self.nodes.counts(NodeKind::HollowByRates),
        }
    }
}

/// Returns the upper limit of the requests per second of one hollow node, for a fleet of `executors`.
fn max_rate(file: &ScaleFile, executors: usize) -> f64 {
    let slow_start_slots = executors as f64 * file.fleet.slots * file.rules.initial_capacity;
    let slow_start_capacity = slow_start_slots / file.requests.mean_service_time.as_secs_f64().max(1e-9);
    MAX_TOTAL_HOLLOW_RATE.min(MAX_SHARE_OF_SLOW_START_CAPACITY * slow_start_capacity)
        / file.hollow_nodes.count.max(1) as f64
}

impl Cluster<'_, '_> {
    /// Starts the hollow nodes of the file, and waits until each has received the endpoint list. Returns `None` if the
    /// file has no hollow nodes.
    pub(super) async fn start_hollow_nodes(&self) -> Result<Option<HollowLoad>, RunError> {
        let file = self.campaign.file;
        let hollow = &file.hollow_nodes;
        if hollow.count == 0 {
            return Ok(None);
        }
        let first_number = file.real_nodes.count;
        let agents = (0..hollow.count)
            .map(|index| Agent::start_for_hollow_node(self.fleet.discovery(), first_number + index));
        let agents = agents
            .collect::<Result<Vec<_>, _>>()
            .context("opening the listeners of the discovery agents of hollow nodes")?;
        let discovery: Vec<SocketAddr> = agents.iter().map(|agent| agent.address()).collect();
        let settings = Settings {
            first_number,
            dispatcher_nodes: hollow.by_dispatcher.min(hollow.count),
            rate_nodes: hollow.count.saturating_sub(hollow.by_dispatcher),
            rates: hollow.measured,
            max_connections: hollow.connections,
            discovery_addresses: discovery,
            node_settings: self.node_context().settings(first_number),
            request_rate: 0.0,
            mean_work: file.requests.mean_service_time,
            deadline: file.requests.deadline,
            seed: file.seed.wrapping_add(self.number),
        };
        let nodes = HollowNodes::start(settings)
            .map_err(|error| RunError::HollowNodes { reason: error.to_string() })?;
        for agent in &agents {
            if !agent.wait_until_notified(LIST_TIMEOUT).await {
                let reason =
                    format!("a hollow node did not receive the endpoint list within {LIST_TIMEOUT:?}");
                return Err(RunError::HollowNodes { reason });
            }
        }
        Ok(Some(HollowLoad { nodes, max_rate: max_rate(file, self.fleet.size()), _agents: agents }))
    }

    /// Emits the number of hollow nodes of each kind, and their probes and dispatches per second since an earlier
    /// snapshot.
    pub(super) fn emit_hollow_rates(
        &self,
        point: OperatingPoint,
        load: &HollowLoad,
        before: &HollowSnapshot,
    ) {
        let now = load.snapshot();
        let seconds = now.taken_at.duration_since(before.taken_at).as_secs_f64().max(1e-9);
        let hollow = &self.campaign.file.hollow_nodes;
        let by_dispatcher = hollow.by_dispatcher.min(hollow.count);
        let kinds = [
            (NodeKind::HollowByDispatcher, by_dispatcher, now.by_dispatcher, before.by_dispatcher),
            (NodeKind::HollowByRates, hollow.count - by_dispatcher, now.by_rates, before.by_rates),
        ];
        for (kind, count, now, before) in kinds {
            if count == 0 {
                continue;
            }
            let per_node_second = |count_now: u64, count_before: u64| {
                count_now.saturating_sub(count_before) as f64 / seconds / count as f64
            };
            let emit = |measurement, value| self.campaign.emit_figure(point, measurement, kind, value);
            emit(Measurement::HollowNodeCount, count as f64);
            emit(Measurement::Probes, per_node_second(now.probes, before.probes));
            emit(Measurement::Dispatches, per_node_second(now.attempts, before.attempts));
        }
    }
}
