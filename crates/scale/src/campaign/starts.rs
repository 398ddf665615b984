//! Nodes start, and are told whole lists, single changes and bursts.
use super::{Campaign, Cluster, EFFECT_TIME, RunError, STARTUP_QUANTILE, millis, quantile};
use crate::catalog::State;
use crate::row::{Measurement, NodeKind, OperatingPoint, Phase};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Changes of which the cost of one is the mean.
const LIST_CHANGES: usize = 20;
/// After a start or a burst, until a node is at rest.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// A node that is told an empty list.
pub(super) struct Baseline {
    /// From the start until it is at rest.
    cpu: Duration,
    resident_bytes: u64,
}

impl Campaign<'_> {
    pub(super) async fn measure_baseline(&self) -> Result<Baseline, RunError> {
        let (cluster, ready) = self.start_nodes(0, 1).await?;
        sleep(SETTLE_TIME).await;
        let usage = cluster.usage()?[0];
        cluster.emit_start(0, &ready)?;
        Ok(Baseline { cpu: usage.cpu, resident_bytes: usage.resident_bytes })
    }

    pub(super) async fn measure_size(&self, size: usize, baseline: &Baseline) -> Result<(), RunError> {
        let (cluster, ready) = self.start_nodes(size, self.file.real_nodes.count).await?;
        sleep(SETTLE_TIME).await;
        cluster.emit_start(size, &ready)?;
        cluster.emit_cost_of_list(baseline)?;
        cluster.measure_repeated_list(cluster.point(Phase::Steady)).await?;
        cluster.measure_changes().await?;
        cluster.measure_burst(Phase::ZoneBurst, self.file.bursts.zone).await?;
        cluster.measure_burst(Phase::RegionBurst, self.file.bursts.region).await?;
        cluster.measure_loads().await?;
        if cluster.fleet.replaced() > 0 {
            // After all loads: a whole list may mend what changes alone left behind.
            cluster.measure_repeated_list(cluster.point(Phase::Steady)).await?;
        }
        cluster.measure_config_change().await
    }
}

impl Cluster<'_, '_> {
    pub(super) fn point(&self, phase: Phase) -> OperatingPoint {
        let turnover = self.fleet.replaced() as f64 / self.fleet.size().max(1) as f64;
        OperatingPoint { phase, executors: self.fleet.size(), turnover, rate: 0.0 }
    }

    fn emit_start(&self, size: usize, ready: &[Duration]) -> Result<(), RunError> {
        let campaign = self.campaign;
        let point = OperatingPoint { phase: Phase::Start, executors: size, turnover: 0.0, rate: 0.0 };
        let mut ready: Vec<f64> = ready.iter().copied().map(millis).collect();
        let ready = quantile(&mut ready, STARTUP_QUANTILE);
        campaign.figure(point, Measurement::StartupTime, NodeKind::Real, ready);
        let peak = self.usage()?.iter().map(|usage| usage.peak_resident_bytes).max().unwrap_or(0);
        campaign.figure(point, Measurement::Memory, NodeKind::Real, peak as f64);
        Ok(())
    }

    /// The first list of a node: what it needs beyond a node that was told an empty one.
    fn emit_cost_of_list(&self, baseline: &Baseline) -> Result<(), RunError> {
        let point = self.point(Phase::Start);
        let usage = self.usage()?;
        let nodes = usage.len().max(1) as f64;
        let cpu: f64 = usage.iter().map(|usage| millis(usage.cpu.saturating_sub(baseline.cpu))).sum();
        let resident = usage.iter().map(|usage| usage.resident_bytes).sum::<u64>() as f64 / nodes;
        let each = (resident - baseline.resident_bytes as f64) / self.fleet.size().max(1) as f64;
        self.campaign.figure(point, Measurement::CpuPerFullList, NodeKind::Real, cpu / nodes);
        self.campaign.figure(point, Measurement::MemoryPerExecutor, NodeKind::Real, each);
        Ok(())
    }

    /// The processor time of each node in milliseconds, beside what it needs at rest, from before `began` until now.
    fn cost_since(&self, began: Instant, before: Duration, idle: f64) -> Result<f64, RunError> {
        let used = self.cpu()?.saturating_sub(before).as_secs_f64();
        let beside_idle = used - idle * began.elapsed().as_secs_f64();
        Ok(beside_idle.max(0.0) * 1000.0 / self.nodes.len().max(1) as f64)
    }

    /// Each node is told the whole list once more: what that costs.
    pub(super) async fn measure_repeated_list(&self, point: OperatingPoint) -> Result<(), RunError> {
        let idle = self.idle_cpu(self.campaign.file.load.settle_time).await?;
        let (before, began) = (self.cpu()?, Instant::now());
        self.nodes.iter().for_each(|node| node.agent.restart_with_whole_list());
        self.wait_told().await?;
        sleep(EFFECT_TIME).await;
        let cost = self.cost_since(began, before, idle)?;
        self.campaign.figure(point, Measurement::CpuPerFullList, NodeKind::Real, cost);
        Ok(())
    }

    /// How many of the listed executors a node leaves out at most, as it tells operators; no figure where a node tells
    /// none.
    pub(super) async fn emit_left_out(&self, point: OperatingPoint) {
        let mut most = 0;
        for node in &self.nodes {
            let Ok(figures) = node.registry_figures().await else { return };
            // Whoever is listed and not kept gets no work, whatever the node calls it.
            most =
                most.max(self.fleet.discovery().listed().saturating_sub(figures.kept)).max(figures.left_out);
        }
        let point = OperatingPoint { rate: 0.0, ..point };
        self.campaign.figure(point, Measurement::UnretainedExecutors, NodeKind::Real, most as f64);
    }

    /// Single executors drain and are ready again, one after the other.
    async fn measure_changes(&self) -> Result<(), RunError> {
        let point = self.point(Phase::Steady);
        let idle = self.idle_cpu(self.campaign.file.load.settle_time).await?;
        let (before, began) = (self.cpu()?, Instant::now());
        for change in 0..LIST_CHANGES {
            let executor = change / 2 % self.fleet.size();
            let state = if change % 2 == 0 { State::Terminating } else { State::Ready };
            self.fleet.publish(executor..executor + 1, state);
            self.wait_told().await?;
        }
        sleep(EFFECT_TIME).await;
        let cost = self.cost_since(began, before, idle)? / LIST_CHANGES as f64;
        self.campaign.figure(point, Measurement::CpuPerListChange, NodeKind::Real, cost);
        self.emit_delays(point);
        Ok(())
    }

    /// So many executors are gone at once, and are back at once. Left out where the fleet is not larger.
    async fn measure_burst(&self, phase: Phase, executors: usize) -> Result<(), RunError> {
        if executors == 0 || executors >= self.fleet.size() {
            return Ok(());
        }
        let point = self.point(phase);
        let idle = self.idle_cpu(self.campaign.file.load.settle_time).await?;
        self.nodes.iter().for_each(|node| node.reset_peak());
        let (before, began) = (self.cpu()?, Instant::now());
        self.fleet.kill(0..executors).await;
        self.fleet.publish(0..executors, State::Gone);
        self.wait_told().await?;
        sleep(EFFECT_TIME).await;
        self.fleet.return_cold(0..executors).await;
        self.wait_told().await?;
        sleep(EFFECT_TIME).await;
        let cost = self.cost_since(began, before, idle)?;
        self.campaign.figure(point, Measurement::CpuPerBurst, NodeKind::Real, cost);
        let peak = self.usage()?.iter().map(|usage| usage.peak_resident_bytes).max().unwrap_or(0);
        self.campaign.figure(point, Measurement::Memory, NodeKind::Real, peak as f64);
        self.emit_delays(point);
        Ok(())
    }
}
