//! What discovery lists of the executors.
use super::World;
use crate::briefing::PLACE;
use crate::lists;
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
    pub(super) fn member(&self, number: usize, listed: ListedState) -> Member {
        let planned = &self.plan.executors[number];
        let hosts = self.hosts.borrow();
        let host = hosts[number].as_ref().expect("it was started before it is listed");
        let started = self.announced_start(number).unwrap_or(host.started_at());
        Member {
            executor: number as ExecutorNumber,
            id: host.name.clone(),
            addr: host.addr,
            zone: PLACE.into(),
            machine_type: planned.machine_type.clone(),
            deduplication_group: planned.group as u32,
            state: listed,
            weight: 1.0,
            started_at: if started.is_finite() { (self.unix_offset_ms + started).floor() } else { 0.0 },
        }
    }

    /// The start time that a restarting executor registers with, which is when it will accept connections; `None`
    /// if it runs.
    fn announced_start(&self, number: usize) -> Option<Millis> {
        let delay = startup_delay(&self.scenario);
        let hosts = self.hosts.borrow();
        let host = hosts[number].as_ref()?;
        (host.is_down() || host.is_silent()).then(|| self.record.now() + delay)
    }

    /// Changes the listed state of an executor; each agent is notified after a random delay of its own.
    pub(super) fn list(&self, number: usize, listed: ListedState) {
        self.list_with_health(number, listed, HealthCheck::Passing);
    }

    /// Like [`World::list`], with the result of the executor's health check.
    pub(super) fn list_with_health(&self, number: usize, listed: ListedState, health: HealthCheck) {
        let member = self.member(number, listed);
        if let Some(cluster) = &*self.cluster.borrow() {
            lists::register(cluster, &member, health == HealthCheck::Failing);
        }
        self.listed.borrow_mut()[number] = Some(member.clone());
        let discovery = &self.scenario.discovery;
        let delay_range = discovery.max_notice_delay - discovery.min_notice_delay;
        for node in self.nodes.borrow().iter() {
            let fraction: f64 = self.rng.borrow_mut().random();
            node.endpoint_list.change(&member, discovery.min_notice_delay + delay_range.mul_f64(fraction));
        }
    }
}
