//! Hollow nodes beside the real ones of a step, while clients send.
use super::{Doing, LONGEST_TELLING, RunError, Step};
use crate::discovery::Agent;
use crate::file::ScaleFile;
use crate::hollow_nodes::{Counts, HollowNodes, Settings};
use crate::row::{Measurement, NodeKind, Point};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Requests that all hollow nodes together take in a second, at most: what one machine carries beside the rest. Where
/// the rate of a point asks for more, each takes its share of this.
const MOST_HOLLOW_RATE: f64 = 2000.0;
/// Hollow nodes together take no more than this share of what the fleet can do while it is cold. Guards against a
/// small fleet that is overloaded by the load beside the real nodes.
const MOST_SHARE_OF_COLD_FLEET: f64 = 0.25;

/// Hollow nodes that run until this is dropped.
pub(super) struct HollowLoad {
    nodes: HollowNodes,
    /// Requests in a second of each, at most.
    most_rate: f64,
    /// They are told by these.
    _agents: Vec<Rc<Agent>>,
}

/// What hollow nodes had done at one moment.
pub(super) struct HollowReading {
    at: Instant,
    by_dispatcher: Counts,
    by_rates: Counts,
}

impl HollowLoad {
    /// Sets the requests a second of each, as far as the machine and the fleet carry them all.
    pub(super) fn set_rate(&self, rate: f64) {
        self.nodes.set_request_rate(rate.min(self.most_rate));
    }

    /// Starts one anew.
    pub(super) fn restart(&self, number: usize) {
        self.nodes.restart(number);
    }

    pub(super) fn read(&self) -> HollowReading {
        HollowReading {
            at: Instant::now(),
            by_dispatcher: self.nodes.counts(NodeKind::HollowByDispatcher),
            by_rates: self.nodes.counts(NodeKind::HollowByRates),
        }
    }
}

/// Of one hollow node beside so many executors.
fn most_rate(file: &ScaleFile, executors: usize) -> f64 {
    let cold_slots = executors as f64 * file.fleet.slots * file.rules.initial_capacity;
    let cold_fleet = cold_slots / file.requests.work.as_secs_f64().max(1e-9);
    MOST_HOLLOW_RATE.min(MOST_SHARE_OF_COLD_FLEET * cold_fleet) / file.hollow_nodes.count.max(1) as f64
}

impl Step<'_, '_> {
    /// Starts the hollow nodes of the file, and waits until each has been told the list; none where the file has
    /// none.
    pub(super) async fn start_hollow_nodes(&self) -> Result<Option<HollowLoad>, RunError> {
        let file = self.campaign.file;
        let hollow = &file.hollow_nodes;
        if hollow.count == 0 {
            return Ok(None);
        }
        let first_number = file.real_nodes.count;
        let agents =
            (0..hollow.count).map(|n| Agent::of_hollow_node(self.fleet.discovery(), first_number + n));
        let agents = agents.collect::<Result<Vec<_>, _>>().doing("listening for hollow nodes")?;
        let discovery: Vec<SocketAddr> = agents.iter().map(|agent| agent.address()).collect();
        let settings = Settings {
            first_number,
            by_dispatcher: hollow.by_dispatcher.min(hollow.count),
            by_rates: hollow.count.saturating_sub(hollow.by_dispatcher),
            rates: hollow.measured,
            connections: hollow.connections,
            discovery,
            node_settings: self.surroundings().settings_of(first_number),
            request_rate: 0.0,
            work: file.requests.work,
            deadline: file.requests.deadline,
            seed: file.seed.wrapping_add(self.number),
        };
        let nodes =
            HollowNodes::start(settings).map_err(|error| RunError::HollowNodes { why: error.to_string() })?;
        for agent in &agents {
            if !agent.has_told_all(LONGEST_TELLING).await {
                return Err(RunError::HollowNodes { why: format!("not told within {LONGEST_TELLING:?}") });
            }
        }
        Ok(Some(HollowLoad { nodes, most_rate: most_rate(file, self.fleet.size()), _agents: agents }))
    }

    /// Emits what the hollow nodes of each kind did since a reading.
    pub(super) fn emit_hollow(&self, point: Point, load: &HollowLoad, before: &HollowReading) {
        let now = load.read();
        let seconds = now.at.duration_since(before.at).as_secs_f64().max(1e-9);
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
            let figure = |measurement, value| self.campaign.figure(point, measurement, kind, value);
            figure(Measurement::Drivers, count as f64);
            figure(Measurement::Probes, per_node_second(now.probes, before.probes));
            figure(Measurement::Pushes, per_node_second(now.pushes, before.pushes));
        }
    }
}
