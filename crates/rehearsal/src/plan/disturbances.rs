//! Crashes, deployments, discovery outages and operator actions, as steps of the day.
use super::schedule::Schedule;
use super::{PlannedExecutor, Step, startup_delay};
use crate::scenario::{EventKind, EventSpec, millis};
use rand::RngExt;
use troutknot_emulator::Millis;

/// Shortest time between the restart of a node and its next kill, so that the node opens its listener; in
/// milliseconds.
const NODE_STARTUP_GRACE: Millis = 150.0;
/// Mean interval between kills of random nodes if the event gives none, in milliseconds.
const DEFAULT_MEAN_KILL_INTERVAL: Millis = 1000.0;
/// Interval of flapping executors if the event gives none, in milliseconds.
const DEFAULT_FLAP_INTERVAL: Millis = 1.0;

impl Schedule<'_> {
    /// Schedules the steps of one event of the scenario.
    pub(super) fn add_event(&mut self, event: &EventSpec) {
        let at = millis(event.at);
        let end = at + event.duration.map_or(0.0, millis);
        let node = event.node.unwrap_or(0);
        match event.kind {
            EventKind::KillNode => self.add_node_crash(node, at, event),
            EventKind::KillNodes => self.add_random_node_crashes(at, end, event),
            EventKind::RestartNode => self.add_node_restart(node, at, event),
            EventKind::ReloadNodes => self.add(at, Step::ReloadNodes),
            EventKind::RestartDiscovery => self.add(at, Step::RestartDiscovery),
            EventKind::SilenceDiscovery => {
                self.add(at, Step::SilenceDiscovery { silent: true });
                self.add(end, Step::SilenceDiscovery { silent: false });
            }
            EventKind::FlapExecutors => self.add_flapping(at, event),
            EventKind::SuspendExecutors => self.add_suspension(at, end, event),
            EventKind::DrainNode => {
                self.add(at, Step::DrainNode { node, drained: true });
                self.add(end, Step::DrainNode { node, drained: false });
            }
            EventKind::HotRestartNode => self.add(at, Step::HotRestartNode { node }),
            EventKind::ReconfigureNodes => {
                let max_attempts = event.max_attempts.unwrap_or(1);
                self.add(
                    at,
                    Step::ReconfigureNodes { max_attempts, broken: event.is_broken.unwrap_or(false) },
                );
            }
            EventKind::FailDiscovery => {
                self.add(at, Step::DiscoveryFault { fault: event.discovery_fault });
                self.add(end, Step::DiscoveryFault { fault: None });
            }
            EventKind::KillExecutor => self.add_executor_crashes(at, event),
            EventKind::Deploy => self.add_deployment(at, event),
        }
    }

    fn add_node_crash(&mut self, node: usize, at: Millis, event: &EventSpec) {
        self.add(at, Step::KillNode { node });
        self.add(at + event.downtime.map_or(0.0, millis), Step::StartNode { node });
    }

    /// Kills nodes at exponentially distributed intervals, the longest-running one first.
    fn add_random_node_crashes(&mut self, at: Millis, end: Millis, event: &EventSpec) {
        let mean_interval = event.interval.map_or(DEFAULT_MEAN_KILL_INTERVAL, millis);
        let downtime = event.downtime.map_or(0.0, millis);
        // The earliest time of each node's next kill.
        let mut earliest_kill_at = vec![at; self.scenario.nodes.count];
        let mut now = at + self.exponential(mean_interval);
        while now < end {
            let earliest =
                earliest_kill_at.iter().enumerate().min_by(|left, right| left.1.total_cmp(right.1));
            let node = earliest.map_or(0, |(node, _)| node);
            now = now.max(earliest_kill_at[node]);
            self.add(now, Step::KillNode { node });
            self.add(now + downtime, Step::StartNode { node });
            earliest_kill_at[node] = now + downtime + NODE_STARTUP_GRACE;
            now += self.exponential(mean_interval);
        }
    }

    fn exponential(&mut self, mean: Millis) -> Millis {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn add_node_restart(&mut self, node: usize, at: Millis, event: &EventSpec) {
        let killed_at = at + millis(self.scenario.termination_grace());
        self.add(at, Step::TerminateNode { node });
        self.add(killed_at, Step::KillNode { node });
        self.add(killed_at + event.downtime.map_or(0.0, millis), Step::StartNode { node });
    }

    fn add_flapping(&mut self, at: Millis, event: &EventSpec) {
        let interval = event.interval.map_or(DEFAULT_FLAP_INTERVAL, millis);
        let end = at + event.duration.map_or(0.0, millis);
        for executor in self.event_executors(event) {
            // A random phase for each, so that they do not flap in step.
            let mut now = at + self.rng.random::<f64>() * interval;
            while now + interval <= end {
                self.add(now, Step::ListFailing { executor });
                self.add(now + interval / 2.0, Step::ListPassing { executor });
                now += interval;
            }
        }
    }

    fn add_suspension(&mut self, at: Millis, end: Millis, event: &EventSpec) {
        for executor in self.event_executors(event) {
            self.add(at, Step::SuspendExecutor { executor, suspended: true });
            self.add(end, Step::SuspendExecutor { executor, suspended: false });
        }
    }

    fn add_executor_crashes(&mut self, at: Millis, event: &EventSpec) {
        let removed_at = at + millis(self.scenario.discovery.failure_detection_delay);
        let registered_at = event.downtime.map(|downtime| at + millis(downtime));
        for executor in self.event_executors(event) {
            self.add(at, Step::KillExecutor { executor });
            if registered_at.is_none_or(|registered_at| removed_at < registered_at) {
                self.add(removed_at, Step::ListRemoved { executor });
            }
            if let Some(registered_at) = registered_at {
                self.add(registered_at, Step::ListRestarted { executor });
                let accepts_at = registered_at + startup_delay(self.scenario);
                self.add(accepts_at, Step::RestartExecutor { executor });
            }
        }
    }

    /// Replaces executors one after the other.
    fn add_deployment(&mut self, at: Millis, event: &EventSpec) {
        let rules = &self.scenario.rules;
        let grace = millis(rules.drain_grace) + millis(rules.notification_timeout);
        let interval = event.interval.map_or(0.0, millis);
        let candidates = self.initial_executors(event.group.as_deref());
        let count = event.count.unwrap_or(candidates.len());
        for (position, executor) in self.sample(candidates, count).into_iter().enumerate() {
            let at = at + position as f64 * interval;
            let replacement = self.add_replacement(executor);
            self.add(at, Step::Join { executor: replacement });
            self.add(at, Step::Drain { executor });
            self.add(at + grace, Step::Leave { executor });
        }
    }

    /// Adds an executor like the given one, with a seed of its own, and returns its number.
    fn add_replacement(&mut self, executor: usize) -> usize {
        let replacement = PlannedExecutor {
            seed: self.rng.random(),
            is_initial: false,
            slow_start: true,
            ..self.executors[executor].clone()
        };
        self.executors.push(replacement);
        self.executors.len() - 1
    }

    /// Samples the executors that an event concerns; one if the event gives no count.
    fn event_executors(&mut self, event: &EventSpec) -> Vec<usize> {
        let candidates = self.initial_executors(event.group.as_deref());
        self.sample(candidates, event.count.unwrap_or(1))
    }
}
