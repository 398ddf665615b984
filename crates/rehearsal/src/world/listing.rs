//! The entries of executors in discovery.
use super::World;
use crate::endpoint_lists;
use crate::node_config::ZONE;
use crate::plan::startup_delay;
use rand::RngExt;
use troutknot_emulator::Millis;
use troutknot_emulator::discovery::Member;
use troutknot_emulator::observations::{ExecutorNumber, ListedState};

/// The result of the health check that an executor is listed with.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum HealthCheck {
    Passing,
    Failing,
}

impl World {
    /// The entry of an executor in the endpoint list.
    pub(super) fn member(&self, number: usize, state: ListedState) -> Member {
        let planned = &self.plan.executors[number];
        let hosts = self.hosts.borrow();
        let host = hosts[number].as_ref().expect("an executor is started before it is listed");
        let started_at = self.announced_start(number).unwrap_or(host.started_at());
        Member {
            executor: number as ExecutorNumber,
            id: host.name.clone(),
            addr: host.addr,
            zone: ZONE.into(),
            machine_type: planned.machine_type.clone(),
            deduplication_group: planned.group as u32,
            state,
            weight: 1.0,
            started_at: if started_at.is_finite() { (self.unix_offset_ms + started_at).floor() } else { 0.0 },
        }
    }

    /// The start time that a restarting executor registers with, which is when it will accept connections; `None`
    /// if it runs.
    fn announced_start(&self, number: usize) -> Option<Millis> {
        let delay = startup_delay(&self.scenario);
        let hosts = self.hosts.borrow();
        let host = hosts[number].as_ref()?;
        (host.is_down() || host.is_silent()).then(|| self.observation_log.now() + delay)
    }

    /// Changes the listed state of an executor; each agent is notified after a random delay of its own.
    pub(super) fn list(&self, number: usize, state: ListedState) {
        self.list_with_health(number, state, HealthCheck::Passing);
    }

    /// Like [`World::list`], with the result of the executor's health check.
    pub(super) fn list_with_health(&self, number: usize, state: ListedState, health: HealthCheck) {
        let member = self.member(number, state);
        if let Some(cluster) = &*self.cluster.borrow() {
            endpoint_lists::register(cluster, &member, health == HealthCheck::Failing);
        }
        self.listed.borrow_mut()[number] = Some(member.clone());
        let discovery = &self.scenario.discovery;
        let delay_range = discovery.max_notice_delay - discovery.min_notice_delay;
        for node in self.nodes.borrow().iter() {
            let fraction: f64 = self.rng.borrow_mut().random();
            node.endpoint_list.update(&member, discovery.min_notice_delay + delay_range.mul_f64(fraction));
        }
    }
}
