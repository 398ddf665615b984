//! Measures the start of nodes, and the cost of full endpoint lists, single changes and bursts of changes.
use super::{CHANGE_PROCESSING_TIME, Campaign, Cluster, RunError, STARTUP_QUANTILE, millis, quantile};
use crate::catalog::State;
use crate::row::{Measurement, NodeKind, OperatingPoint, Phase};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Number of changes over which the cost of one is averaged.
const LIST_CHANGES: usize = 20;
/// Time after a start until a node is idle.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Usage of a node that has received an empty endpoint list.
pub(super) struct Baseline {
    /// CPU time from the start of the node until it is idle.
    cpu_time: Duration,
    resident_bytes: u64,
}

impl Campaign<'_> {
    /// Measures a node with an empty endpoint list.
    pub(super) async fn measure_baseline(&self) -> Result<Baseline, RunError> {
        let (cluster, startup_times) = self.start_nodes(0, 1).await?;
        sleep(SETTLE_TIME).await;
        let usage = cluster.usage()?[0];
        cluster.emit_start(0, &startup_times)?;
        Ok(Baseline { cpu_time: usage.cpu, resident_bytes: usage.resident_bytes })
    }

    /// Runs all measurements of one fleet size except the faults.
    pub(super) async fn measure_size(&self, size: usize, baseline: &Baseline) -> Result<(), RunError> {
        let (cluster, startup_times) = self.start_nodes(size, self.file.real_nodes.count).await?;
        sleep(SETTLE_TIME).await;
        cluster.emit_start(size, &startup_times)?;
        cluster.emit_list_cost(baseline)?;
        cluster.measure_full_list(cluster.point(Phase::Steady)).await?;
        cluster.measure_changes().await?;
        cluster.measure_burst(Phase::ZoneBurst, self.file.bursts.zone).await?;
        cluster.measure_burst(Phase::RegionBurst, self.file.bursts.region).await?;
        cluster.measure_loads().await?;
        if cluster.fleet.replaced_count() > 0 {
            // After the load measurements, since a full list may repair state that incremental changes left behind.
            cluster.measure_full_list(cluster.point(Phase::Steady)).await?;
        }
        cluster.measure_config_change().await
    }
}

impl Cluster<'_, '_> {
    /// Returns the operating point of a phase at the current fleet size and turnover, without requests.
    pub(super) fn point(&self, phase: Phase) -> OperatingPoint {
        let turnover = self.fleet.replaced_count() as f64 / self.fleet.size().max(1) as f64;
        OperatingPoint { phase, executors: self.fleet.size(), turnover, rate: 0.0 }
    }

    fn emit_start(&self, size: usize, startup_times: &[Duration]) -> Result<(), RunError> {
        let campaign = self.campaign;
        let point = OperatingPoint { phase: Phase::Start, executors: size, turnover: 0.0, rate: 0.0 };
        let mut startup_times: Vec<f64> = startup_times.iter().copied().map(millis).collect();
        let startup_time = quantile(&mut startup_times, STARTUP_QUANTILE);
        campaign.emit_figure(point, Measurement::StartupTime, NodeKind::Real, startup_time);
        let peak = self.usage()?.iter().map(|usage| usage.peak_resident_bytes).max().unwrap_or(0);
        campaign.emit_figure(point, Measurement::Memory, NodeKind::Real, peak as f64);
        Ok(())
    }

    /// Emits the CPU time and memory of the first endpoint list, beyond those of a node with an empty list.
    fn emit_list_cost(&self, baseline: &Baseline) -> Result<(), RunError> {
        let point = self.point(Phase::Start);
        let usage = self.usage()?;
        let nodes = usage.len().max(1) as f64;
        let cpu_ms: f64 = usage.iter().map(|usage| millis(usage.cpu.saturating_sub(baseline.cpu_time))).sum();
        let resident = usage.iter().map(|usage| usage.resident_bytes).sum::<u64>() as f64 / nodes;
        let per_executor = (resident - baseline.resident_bytes as f64) / self.fleet.size().max(1) as f64;
        self.campaign.emit_figure(point, Measurement::CpuPerFullList, NodeKind::Real, cpu_ms / nodes);
        self.campaign.emit_figure(point, Measurement::MemoryPerExecutor, NodeKind::Real, per_executor);
        Ok(())
    }

    /// Returns the mean CPU time of a node since `started_at`, in milliseconds, beyond its idle CPU time.
    fn cpu_cost_since(&self, started_at: Instant, before: Duration, idle_cpu: f64) -> Result<f64, RunError> {
        let used = self.cpu_time()?.saturating_sub(before).as_secs_f64();
        let beyond_idle = used - idle_cpu * started_at.elapsed().as_secs_f64();
        Ok(beyond_idle.max(0.0) * 1000.0 / self.nodes.len().max(1) as f64)
    }

    /// Makes discovery send the full endpoint list to each node again, and measures the CPU cost.
    pub(super) async fn measure_full_list(&self, point: OperatingPoint) -> Result<(), RunError> {
        let idle_cpu = self.measure_idle_cpu(self.campaign.file.load.settle_time).await?;
        let (before, started_at) = (self.cpu_time()?, Instant::now());
        self.nodes.iter().for_each(|node| node.agent.restart_with_snapshot());
        self.wait_for_list().await?;
        sleep(CHANGE_PROCESSING_TIME).await;
        let cost = self.cpu_cost_since(started_at, before, idle_cpu)?;
        self.campaign.emit_figure(point, Measurement::CpuPerFullList, NodeKind::Real, cost);
        Ok(())
    }

    /// Emits the largest number of listed executors that a node does not retain, by the counts of its admin
    /// server. Emits nothing if a node reports no counts.
    pub(super) async fn emit_unretained_executors(&self, point: OperatingPoint) {
        let mut max_unretained = 0;
        for node in &self.nodes {
            let Ok(counts) = node.fetch_registry_counts().await else { return };
            // An executor that is listed but not kept gets no requests, whether or not the node reports it as left out.
            let unretained = self.fleet.discovery().listed_count().saturating_sub(counts.retained);
            max_unretained = max_unretained.max(unretained).max(counts.unretained);
        }
        let point = OperatingPoint { rate: 0.0, ..point };
        self.campaign.emit_figure(
            point,
            Measurement::UnretainedExecutors,
            NodeKind::Real,
            max_unretained as f64,
        );
    }

    /// Measures single changes: executors are listed as draining and as ready again, one after another.
    async fn measure_changes(&self) -> Result<(), RunError> {
        let point = self.point(Phase::Steady);
        let idle_cpu = self.measure_idle_cpu(self.campaign.file.load.settle_time).await?;
        let (before, started_at) = (self.cpu_time()?, Instant::now());
        for change in 0..LIST_CHANGES {
            let executor = change / 2 % self.fleet.size();
            let state = if change % 2 == 0 { State::Terminating } else { State::Ready };
            self.fleet.publish(executor..executor + 1, state);
            self.wait_for_list().await?;
        }
        sleep(CHANGE_PROCESSING_TIME).await;
        let cost = self.cpu_cost_since(started_at, before, idle_cpu)? / LIST_CHANGES as f64;
        self.campaign.emit_figure(point, Measurement::CpuPerListChange, NodeKind::Real, cost);
        self.emit_notification_delay(point);
        Ok(())
    }

    /// Measures a burst: a number of executors disappears at once and returns at once. Skipped if the burst
    /// is empty or the fleet is not larger than it.
    async fn measure_burst(&self, phase: Phase, executors: usize) -> Result<(), RunError> {
        if executors == 0 || executors >= self.fleet.size() {
            return Ok(());
        }
        let point = self.point(phase);
        let idle_cpu = self.measure_idle_cpu(self.campaign.file.load.settle_time).await?;
        self.nodes.iter().for_each(|node| node.reset_peak());
        let (before, started_at) = (self.cpu_time()?, Instant::now());
        self.fleet.kill(0..executors).await;
        self.fleet.publish(0..executors, State::Gone);
        self.wait_for_list().await?;
        sleep(CHANGE_PROCESSING_TIME).await;
        self.fleet.restart(0..executors).await;
        self.wait_for_list().await?;
        sleep(CHANGE_PROCESSING_TIME).await;
        let cost = self.cpu_cost_since(started_at, before, idle_cpu)?;
        self.campaign.emit_figure(point, Measurement::CpuPerBurst, NodeKind::Real, cost);
        let peak = self.usage()?.iter().map(|usage| usage.peak_resident_bytes).max().unwrap_or(0);
        self.campaign.emit_figure(point, Measurement::Memory, NodeKind::Real, peak as f64);
        self.emit_notification_delay(point);
        Ok(())
    }
}
