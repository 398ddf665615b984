//! The troubles of a file, on the largest fleet, while clients send.
use super::hollow_load::HollowLoad;
use super::loads::Reading;
use super::{Campaign, Cluster, RunError, START_TIMEOUT, STARTUP_QUANTILE, millis, quantile};
use crate::catalog::State;
use crate::fault_plan::{Action, FaultPlan, PlanScope};
use crate::file::{FaultKind, FaultSpec};
use crate::row::{Measurement, NodeKind, OperatingPoint, Phase};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::cell::RefCell;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Discovery knows of a death so long after it.
const DEATH_DETECTION_DELAY: Duration = Duration::from_secs(1);
/// A dead executor's successor starts so long after that.
const SUCCESSOR_START_DELAY: Duration = Duration::from_secs(2);
/// Executors that drain while discovery is silent, so that the rule on drains has something to be held against.
const DRAINED_DURING_SILENCE: usize = 10;

impl Campaign<'_> {
    pub(super) async fn play_faults(&self) -> Result<(), RunError> {
        for (number, trouble) in self.file.faults.iter().enumerate() {
            let seed = self.file.seed.wrapping_add(number as u64);
            self.play_fault(trouble.get_ref(), seed).await?;
        }
        Ok(())
    }

    async fn play_fault(&self, spec: &FaultSpec, seed: u64) -> Result<(), RunError> {
        let real = self.file.real_nodes.count;
        let world = PlanScope::of_file(self.file);
        let Some(plan) = FaultPlan::generate(spec, world, seed) else { return Ok(()) };
        let (cluster, _) = self.start_nodes(world.executors, real).await?;
        let rates = &self.file.load.rates;
        let rate = rates.get(rates.len() / 2).copied().unwrap_or(1.0);
        let point =
            OperatingPoint { phase: phase_of(plan.kind), executors: world.executors, turnover: 0.0, rate };
        cluster.nodes.iter().for_each(|node| node.reset_peak());
        let ready = RefCell::new(Vec::new());
        let hollow = cluster.start_hollow_nodes().await?;
        let hollow_before = hollow.as_ref().map(|hollow| {
            hollow.set_rate(rate);
            hollow.read()
        });
        let before: Reading = cluster.read().await?;
        let ((outcome, sockets), played) = tokio::join!(
            cluster.play_clients(rate, plan.length),
            cluster.play_plan(&plan, &ready, hollow.as_ref())
        );
        played?;
        let interval = cluster.since(&before).await?;
        cluster.emit_interval(point, &interval, &outcome);
        if let Some((hollow, before)) = hollow.as_ref().zip(hollow_before) {
            cluster.emit_hollow(point, hollow, &before);
        }
        cluster.emit_outcome(point, outcome);
        cluster.emit_breaches(point, &interval.report);
        cluster.emit_delays(point);
        self.figure(point, Measurement::OpenSockets, NodeKind::Real, sockets as f64);
        let mut ready = ready.into_inner();
        if !ready.is_empty() {
            let ready = quantile(&mut ready, STARTUP_QUANTILE);
            self.figure(point, Measurement::StartupTime, NodeKind::Real, ready);
        }
        drop(hollow);
        cluster.emit_left_out(point).await;
        cluster.measure_repeated_list(point).await
    }
}

fn phase_of(kind: FaultKind) -> Phase {
    match kind {
        FaultKind::BusyDay => Phase::BusyDay,
        FaultKind::ZoneLost => Phase::ZoneLost,
        FaultKind::DiscoverySilent => Phase::DiscoverySilent,
    }
}

impl Cluster<'_, '_> {
    /// Plays the steps at their times; each lasts as long as it does beside the next ones.
    async fn play_plan(
        &self,
        plan: &FaultPlan,
        ready: &RefCell<Vec<f64>>,
        hollow: Option<&HollowLoad>,
    ) -> Result<(), RunError> {
        let began = Instant::now();
        let mut lasting = FuturesUnordered::new();
        for step in &plan.steps {
            let due = sleep_until(began + step.at);
            tokio::pin!(due);
            loop {
                tokio::select! {
                    () = &mut due => break,
                    Some(ended) = lasting.next() => ended?,
                }
            }
            match (&step.action, hollow) {
                (Action::RestartNode(node), Some(hollow)) if *node >= self.nodes.len() => {
                    hollow.restart(node - self.nodes.len());
                }
                (change, _) => lasting.push(self.play_change(change.clone(), ready)),
            }
        }
        while let Some(ended) = lasting.next().await {
            ended?;
        }
        Ok(())
    }

    async fn play_change(&self, change: Action, ready: &RefCell<Vec<f64>>) -> Result<(), RunError> {
        match change {
            Action::Replace(executor) => self.replace(executor).await,
            Action::Fail(executor) => self.fail(executor).await,
            Action::KillZone(zone) => self.lose(zone).await,
            Action::RestartZone(zone) => self.fleet.return_cold(zone).await,
            Action::SilenceDiscovery => {
                self.fleet.discovery().set_silent(true);
                let drained = DRAINED_DURING_SILENCE.min(self.fleet.size() / 2);
                self.fleet.publish(0..drained, State::Terminating);
            }
            Action::ResumeDiscovery => self.fleet.discovery().set_silent(false),
            Action::RestartNode(node) => self.restart(node, ready).await?,
        }
        Ok(())
    }

    async fn replace(&self, executor: usize) {
        let one = executor..executor + 1;
        self.fleet.publish(one.clone(), State::Terminating);
        let rules = &self.campaign.file.rules;
        sleep(rules.drain_grace + self.campaign.file.requests.deadline).await;
        self.fleet.publish(one.clone(), State::Gone);
        self.fleet.kill(one.clone()).await;
        self.fleet.return_renamed(one).await;
    }

    async fn fail(&self, executor: usize) {
        let one = executor..executor + 1;
        self.lose(one.clone()).await;
        sleep(SUCCESSOR_START_DELAY).await;
        self.fleet.return_renamed(one).await;
    }

    async fn lose(&self, executors: Range<usize>) {
        self.fleet.kill(executors.clone()).await;
        sleep(DEATH_DETECTION_DELAY).await;
        self.fleet.publish(executors, State::Gone);
    }

    async fn restart(&self, node: usize, ready: &RefCell<Vec<f64>>) -> Result<(), RunError> {
        let Some(node) = self.nodes.get(node).cloned() else { return Ok(()) };
        let took = node.restart(&self.surroundings(), START_TIMEOUT).await.map_err(|source| {
            RunError::Io { action: format!("restarting real node {}", node.number()), source }
        })?;
        let not_ready =
            || RunError::NotReady { node: node.number(), within: START_TIMEOUT, why: node.last_words() };
        ready.borrow_mut().push(millis(took.ok_or_else(not_ready)?));
        Ok(())
    }
}
