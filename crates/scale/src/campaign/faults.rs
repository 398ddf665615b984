//! Injects the faults of a scale file into the largest fleet while clients send requests.
use super::hollow_load::HollowLoad;
use super::loads::Snapshot;
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

/// Time after which discovery notices that an executor has died.
const DEATH_DETECTION_DELAY: Duration = Duration::from_secs(1);
/// Time from the detection of a death to the start of the replacement executor.
const REPLACEMENT_START_DELAY: Duration = Duration::from_secs(2);
/// Executors that start to drain while discovery is silent; without them the rule on draining executors could not be
/// violated during the silence.
const DRAINED_DURING_SILENCE: usize = 10;

impl Campaign<'_> {
    pub(super) async fn inject_faults(&self) -> Result<(), RunError> {
        for (number, fault) in self.file.faults.iter().enumerate() {
            let seed = self.file.seed.wrapping_add(number as u64);
            self.inject_fault(fault.get_ref(), seed).await?;
        }
        Ok(())
    }

    async fn inject_fault(&self, spec: &FaultSpec, seed: u64) -> Result<(), RunError> {
        let real = self.file.real_nodes.count;
        let scope = PlanScope::from_file(self.file);
        let Some(plan) = FaultPlan::generate(spec, scope, seed) else { return Ok(()) };
        let (cluster, _) = self.start_nodes(scope.executors, real).await?;
        let rates = &self.file.load.rates;
        let rate = rates.get(rates.len() / 2).copied().unwrap_or(1.0);
        let point =
            OperatingPoint { phase: phase_of(plan.kind), executors: scope.executors, turnover: 0.0, rate };
        cluster.nodes.iter().for_each(|node| node.reset_peak());
        let startup_times = RefCell::new(Vec::new());
        let hollow = cluster.start_hollow_nodes().await?;
        let hollow_before = hollow.as_ref().map(|hollow| {
            hollow.set_rate(rate);
            hollow.snapshot()
        });
        let before: Snapshot = cluster.snapshot().await?;
        let ((counts, max_sockets), executed) = tokio::join!(
            cluster.run_clients(rate, plan.length),
            cluster.execute_plan(&plan, &startup_times, hollow.as_ref())
        );
        executed?;
        let interval = cluster.interval_since(&before).await?;
        cluster.emit_interval(point, &interval, &counts);
        if let Some((hollow, before)) = hollow.as_ref().zip(hollow_before) {
            cluster.emit_hollow_rates(point, hollow, &before);
        }
        cluster.emit_answers(point, counts);
        cluster.emit_violations(point, &interval.report);
        cluster.emit_notification_delay(point);
        self.emit_figure(point, Measurement::OpenSockets, NodeKind::Real, max_sockets as f64);
        let mut startup_times = startup_times.into_inner();
        if !startup_times.is_empty() {
            let startup_time = quantile(&mut startup_times, STARTUP_QUANTILE);
            self.emit_figure(point, Measurement::StartupTime, NodeKind::Real, startup_time);
        }
        drop(hollow);
        cluster.emit_unretained_executors(point).await;
        cluster.measure_full_list(point).await
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
    /// Runs the actions of a plan at their times. An action that has not finished when the next one is due continues
    /// concurrently with it.
    async fn execute_plan(
        &self,
        plan: &FaultPlan,
        startup_times: &RefCell<Vec<f64>>,
        hollow: Option<&HollowLoad>,
    ) -> Result<(), RunError> {
        let started_at = Instant::now();
        let mut running = FuturesUnordered::new();
        for step in &plan.steps {
            let due = sleep_until(started_at + step.at);
            tokio::pin!(due);
            loop {
                tokio::select! {
                    () = &mut due => break,
                    Some(finished) = running.next() => finished?,
                }
            }
            match (&step.action, hollow) {
                (Action::RestartNode(node), Some(hollow)) if *node >= self.nodes.len() => {
                    hollow.restart(node - self.nodes.len());
                }
                (action, _) => running.push(self.execute_action(action.clone(), startup_times)),
            }
        }
        while let Some(finished) = running.next().await {
            finished?;
        }
        Ok(())
    }

    async fn execute_action(
        &self,
        action: Action,
        startup_times: &RefCell<Vec<f64>>,
    ) -> Result<(), RunError> {
        match action {
            Action::Replace(executor) => self.replace_executor(executor).await,
            Action::Fail(executor) => self.fail_executor(executor).await,
            Action::KillZone(zone) => self.kill_and_unlist(zone).await,
            Action::RestartZone(zone) => self.fleet.restart(zone).await,
            Action::SilenceDiscovery => {
                self.fleet.discovery().set_silent(true);
                let drained = DRAINED_DURING_SILENCE.min(self.fleet.size() / 2);
                self.fleet.publish(0..drained, State::Terminating);
            }
            Action::ResumeDiscovery => self.fleet.discovery().set_silent(false),
            Action::RestartNode(node) => self.restart_node(node, startup_times).await?,
        }
        Ok(())
    }

    async fn replace_executor(&self, executor: usize) {
        let range = executor..executor + 1;
        self.fleet.publish(range.clone(), State::Terminating);
        let rules = &self.campaign.file.rules;
        sleep(rules.drain_grace + self.campaign.file.requests.deadline).await;
        self.fleet.publish(range.clone(), State::Gone);
        self.fleet.kill(range.clone()).await;
        self.fleet.restart_renamed(range).await;
    }

    async fn fail_executor(&self, executor: usize) {
        let range = executor..executor + 1;
        self.kill_and_unlist(range.clone()).await;
        sleep(REPLACEMENT_START_DELAY).await;
        self.fleet.restart_renamed(range).await;
    }

    async fn kill_and_unlist(&self, executors: Range<usize>) {
        self.fleet.kill(executors.clone()).await;
        sleep(DEATH_DETECTION_DELAY).await;
        self.fleet.publish(executors, State::Gone);
    }

    async fn restart_node(&self, node: usize, startup_times: &RefCell<Vec<f64>>) -> Result<(), RunError> {
        let Some(node) = self.nodes.get(node).cloned() else { return Ok(()) };
        let startup_time = node.restart(&self.node_context(), START_TIMEOUT).await.map_err(|source| {
            RunError::Io { action: format!("restarting real node {}", node.number()), source }
        })?;
        let not_ready = || RunError::NotReady {
            node: node.number(),
            within: START_TIMEOUT,
            reason: node.last_log_lines(),
        };
        startup_times.borrow_mut().push(millis(startup_time.ok_or_else(not_ready)?));
        Ok(())
    }
}
