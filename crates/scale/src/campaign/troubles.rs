//! The troubles of a file, on the largest fleet, while clients send.
use super::hollow_load::HollowLoad;
use super::loads::Reading;
use super::{Campaign, LONGEST_START, READY_SHARE, RunError, Step, millis, quantile};
use crate::catalog::State;
use crate::file::{TroubleKind, TroubleSpec};
use crate::row::{Measurement, NodeKind, Phase, Point};
use crate::trouble::{Change, Plan, World};
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::cell::RefCell;
use std::ops::Range;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// Discovery knows of a death so long after it.
const DEATH_IS_NOTICED: Duration = Duration::from_secs(1);
/// A dead executor's successor starts so long after that.
const SUCCESSOR_STARTS: Duration = Duration::from_secs(2);
/// Executors that drain while discovery is silent, so that the rule on drains has something to be held against.
const DRAINED_IN_SILENCE: usize = 10;

impl Campaign<'_> {
    pub(super) async fn play_troubles(&self) -> Result<(), RunError> {
        for (number, trouble) in self.file.troubles.iter().enumerate() {
            let seed = self.file.seed.wrapping_add(number as u64);
            self.play_trouble(trouble.get_ref(), seed).await?;
        }
        Ok(())
    }

    async fn play_trouble(&self, spec: &TroubleSpec, seed: u64) -> Result<(), RunError> {
        let real = self.file.real_nodes.count;
        let world = World::of_file(self.file);
        let Some(plan) = Plan::draw(spec, world, seed) else { return Ok(()) };
        let (step, _) = self.start_nodes(world.executors, real).await?;
        let rates = &self.file.load.rates;
        let rate = rates.get(rates.len() / 2).copied().unwrap_or(1.0);
        let point = Point { phase: phase_of(plan.kind), executors: world.executors, turnover: 0.0, rate };
        step.nodes.iter().for_each(|node| node.reset_peak());
        let ready = RefCell::new(Vec::new());
        let hollow = step.start_hollow_nodes().await?;
        let hollow_before = hollow.as_ref().map(|hollow| {
            hollow.set_rate(rate);
            hollow.read()
        });
        let before: Reading = step.read().await?;
        let ((outcome, sockets), played) = tokio::join!(
            step.play_clients(rate, plan.length),
            step.play_plan(&plan, &ready, hollow.as_ref())
        );
        played?;
        let interval = step.since(&before).await?;
        step.emit_interval(point, &interval, &outcome);
        if let Some((hollow, before)) = hollow.as_ref().zip(hollow_before) {
            step.emit_hollow(point, hollow, &before);
        }
        step.emit_outcome(point, outcome);
        step.emit_breaches(point, &interval.report);
        step.emit_delays(point);
        self.figure(point, Measurement::OpenSockets, NodeKind::Real, sockets as f64);
        let mut ready = ready.into_inner();
        if !ready.is_empty() {
            let ready = quantile(&mut ready, READY_SHARE);
            self.figure(point, Measurement::ReadyAgain, NodeKind::Real, ready);
        }
        drop(hollow);
        step.emit_left_out(point).await;
        step.measure_repeated_list(point).await
    }
}

fn phase_of(kind: TroubleKind) -> Phase {
    match kind {
        TroubleKind::BusyDay => Phase::BusyDay,
        TroubleKind::ZoneLost => Phase::ZoneLost,
        TroubleKind::DiscoverySilent => Phase::DiscoverySilent,
    }
}

impl Step<'_, '_> {
    /// Plays the steps at their times; each lasts as long as it does beside the next ones.
    async fn play_plan(
        &self,
        plan: &Plan,
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
            match (&step.change, hollow) {
                (Change::RestartNode(node), Some(hollow)) if *node >= self.nodes.len() => {
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

    async fn play_change(&self, change: Change, ready: &RefCell<Vec<f64>>) -> Result<(), RunError> {
        match change {
            Change::Replace(executor) => self.replace(executor).await,
            Change::Fail(executor) => self.fail(executor).await,
            Change::LoseZone(zone) => self.lose(zone).await,
            Change::ReturnZone(zone) => self.fleet.restart(zone).await,
            Change::SilenceDiscovery => {
                self.fleet.discovery().set_silent(true);
                let drained = DRAINED_IN_SILENCE.min(self.fleet.size() / 2);
                self.fleet.publish(0..drained, State::Terminating);
            }
            Change::DiscoverySpeaks => self.fleet.discovery().set_silent(false),
            Change::RestartNode(node) => self.restart(node, ready).await?,
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
        self.fleet.restart_renamed(one).await;
    }

    async fn fail(&self, executor: usize) {
        let one = executor..executor + 1;
        self.lose(one.clone()).await;
        sleep(SUCCESSOR_STARTS).await;
        self.fleet.restart_renamed(one).await;
    }

    async fn lose(&self, executors: Range<usize>) {
        self.fleet.kill(executors.clone()).await;
        sleep(DEATH_IS_NOTICED).await;
        self.fleet.publish(executors, State::Gone);
    }

    async fn restart(&self, node: usize, ready: &RefCell<Vec<f64>>) -> Result<(), RunError> {
        let Some(node) = self.nodes.get(node).cloned() else { return Ok(()) };
        let took = node.restart(&self.surroundings(), LONGEST_START).await.map_err(|source| {
            RunError::Io { doing: format!("restarting real node {}", node.number()), source }
        })?;
        let not_ready =
            || RunError::NotReady { node: node.number(), within: LONGEST_START, why: node.last_log_lines() };
        ready.borrow_mut().push(millis(took.ok_or_else(not_ready)?));
        Ok(())
    }
}
