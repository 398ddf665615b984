//! Steady load: replaces the fleet under new names, and after each turnover measures the nodes at each request rate.
use super::{Cluster, RunError, TAIL_QUANTILE, quantile};
use crate::catalog::State;
use crate::clients::RequestCounts;
use crate::discovery::ListTraffic;
use crate::executor_counts::{ExecutorReport, Traffic};
use crate::node_process::Usage;
use crate::row::{Measurement, NodeKind, OperatingPoint, Phase};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Executors that a rollout replaces at a time.
const ROLLOUT_BATCH: usize = 1000;
/// Interval at which the open sockets of the nodes are counted.
const SOCKET_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// All counters of the nodes, the executors and discovery at one instant.
pub(super) struct Snapshot {
    taken_at: Instant,
    usage: Vec<Usage>,
    executor_traffic: Traffic,
    report: ExecutorReport,
    list_traffic: Vec<ListTraffic>,
}

/// Difference between two snapshots.
pub(super) struct Interval {
    seconds: f64,
    /// CPU usage of the busiest node, in cores.
    cpu_share: f64,
    /// CPU time of all nodes together.
    cpu_time: Duration,
    /// The report of the executors at the end; its traffic counts from the start of the run.
    pub(super) report: ExecutorReport,
    /// Traffic between the real nodes and the executors.
    executor_traffic: Traffic,
    /// Largest number of bytes that discovery sent to one node.
    list_bytes: u64,
    /// Largest number of list lines that discovery sent to one node.
    list_lines: u64,
    peak_resident_bytes: u64,
}

impl Cluster<'_, '_> {
    /// Takes a snapshot, which resets the report of the executors except for its traffic.
    pub(super) async fn snapshot(&self) -> Result<Snapshot, RunError> {
        let report = self.campaign.executors.report().await;
        Ok(Snapshot {
            taken_at: Instant::now(),
            usage: self.usage()?,
            executor_traffic: report.real_nodes,
            report,
            list_traffic: self.nodes.iter().map(|node| node.agent.traffic()).collect(),
        })
    }

    /// Takes a new snapshot and returns the difference from an earlier one. A node that was restarted in between counts
    /// with the usage of its current process.
    pub(super) async fn interval_since(&self, before: &Snapshot) -> Result<Interval, RunError> {
        let now = self.snapshot().await?;
        let seconds = now.taken_at.duration_since(before.taken_at).as_secs_f64().max(1e-9);
        let used = now.usage.iter().zip(&before.usage);
        let cpu: Vec<Duration> =
            used.map(|(now, before)| now.cpu.checked_sub(before.cpu).unwrap_or(now.cpu)).collect();
        let lists = now.list_traffic.iter().zip(&before.list_traffic);
        Ok(Interval {
            seconds,
            cpu_share: cpu.iter().max().map_or(0.0, |cpu| cpu.as_secs_f64() / seconds),
            cpu_time: cpu.iter().sum(),
            executor_traffic: now.executor_traffic.since(before.executor_traffic),
            report: now.report,
            list_bytes: lists.clone().map(|(now, before)| now.bytes - before.bytes).max().unwrap_or(0),
            list_lines: lists.map(|(now, before)| now.lines - before.lines).max().unwrap_or(0),
            peak_resident_bytes: now.usage.iter().map(|usage| usage.peak_resident_bytes).max().unwrap_or(0),
        })
    }

    /// Measures every combination of turnover and request rate of the file.
    pub(super) async fn measure_loads(&self) -> Result<(), RunError> {
        let load = &self.campaign.file.load;
        for turnover in &load.turnovers {
            self.replace_until(*turnover).await?;
            self.nodes.iter().for_each(|node| node.reset_peak());
            let hollow = self.start_hollow_nodes().await?;
            let idle_cpu = self.measure_idle_cpu(load.settle_time).await?;
            self.emit_unretained_executors(OperatingPoint {
                turnover: *turnover,
                ..self.point(Phase::Steady)
            })
            .await;
            for rate in &load.rates {
                let point = OperatingPoint { turnover: *turnover, rate: *rate, ..self.point(Phase::Steady) };
                let before = hollow.as_ref().map(|hollow| {
                    hollow.set_rate(*rate);
                    hollow.snapshot()
                });
                self.measure_rate(point, idle_cpu, load.measurement_time).await?;
                if let Some((hollow, before)) = hollow.as_ref().zip(before) {
                    self.emit_hollow_rates(point, hollow, &before);
                }
            }
        }
        Ok(())
    }

    /// Replaces executors in batches until the whole fleet has been replaced `turnover` times.
    async fn replace_until(&self, turnover: f64) -> Result<(), RunError> {
        let size = self.fleet.size();
        let goal = (turnover * size as f64).round() as usize;
        let point = OperatingPoint { turnover, ..self.point(Phase::Steady) };
        while self.fleet.replaced_count() < goal {
            let first = self.fleet.replaced_count() % size;
            let last = (first + ROLLOUT_BATCH).min(size).min(first + goal - self.fleet.replaced_count());
            self.fleet.publish(first..last, State::Gone);
            self.wait_for_list().await?;
            self.fleet.restart_renamed(first..last).await;
            self.wait_for_list().await?;
        }
        self.emit_notification_delay(point);
        Ok(())
    }

    async fn measure_rate(
        &self,
        point: OperatingPoint,
        idle_cpu: f64,
        length: Duration,
    ) -> Result<(), RunError> {
        let before = self.snapshot().await?;
        let (counts, max_sockets) = self.run_clients(point.rate, length).await;
        let interval = self.interval_since(&before).await?;
        self.emit_interval(point, &interval, &counts);
        let requests = counts.sent.max(1) as f64;
        let cpu = interval.cpu_time.as_secs_f64() - idle_cpu * interval.seconds;
        let emit = |measurement, value| {
            self.campaign.emit_figure(point, measurement, NodeKind::Real, value);
        };
        emit(Measurement::CpuPerRequest, cpu.max(0.0) * 1000.0 / requests);
        emit(Measurement::ConnectionsPerRequest, interval.executor_traffic.connections as f64 / requests);
        emit(Measurement::ProbesPerRequest, interval.executor_traffic.probes as f64 / requests);
        emit(Measurement::OpenSockets, max_sockets as f64);
        self.emit_answers(point, counts);
        self.emit_violations(point, &interval.report);
        self.emit_notification_delay(point);
        emit(Measurement::ReachedExecutors, interval.report.reached_executors as f64);
        Ok(())
    }

    /// Runs the clients of all nodes. Returns the counts of their requests and the largest number of sockets that one
    /// node had open.
    pub(super) async fn run_clients(&self, rate: f64, length: Duration) -> (RequestCounts, usize) {
        let mut runs = JoinSet::new();
        for node in &self.nodes {
            let clients = node.clients.clone();
            runs.spawn_local(async move { clients.run(rate, length).await });
        }
        let (mut total, mut max_sockets) = (RequestCounts::default(), 0);
        while !runs.is_empty() {
            tokio::select! {
                finished = runs.join_next() => if let Some(Ok(counts)) = finished {
                    total.add(&counts);
                },
                () = sleep(SOCKET_SAMPLE_INTERVAL) => {
                    let open = self.nodes.iter().filter_map(|node| node.open_sockets().ok());
                    max_sockets = open.fold(max_sockets, usize::max);
                }
            }
        }
        (total, max_sockets)
    }

    /// Emits the requests of an interval, and what they and the endpoint list cost the nodes.
    pub(super) fn emit_interval(&self, point: OperatingPoint, interval: &Interval, counts: &RequestCounts) {
        let emit = |measurement, value| {
            self.campaign.emit_figure(point, measurement, NodeKind::Real, value);
        };
        let node_seconds = interval.seconds * self.nodes.len().max(1) as f64;
        emit(Measurement::Requests, counts.sent as f64);
        emit(Measurement::Completed, counts.completed as f64);
        emit(Measurement::CpuShare, interval.cpu_share);
        emit(Measurement::Memory, interval.peak_resident_bytes as f64);
        emit(Measurement::ListBytes, interval.list_bytes as f64 / interval.seconds);
        emit(Measurement::ListUpdates, interval.list_lines as f64 / interval.seconds);
        emit(Measurement::Probes, interval.executor_traffic.probes as f64 / node_seconds);
        emit(Measurement::Dispatches, interval.executor_traffic.attempts as f64 / node_seconds);
        emit(Measurement::ExecutorBytes, interval.executor_traffic.bytes_in as f64 / interval.seconds);
    }

    /// Emits the late, missing and duplicate answers, and the latencies of the completed requests if there are any.
    pub(super) fn emit_answers(&self, point: OperatingPoint, mut counts: RequestCounts) {
        let emit = |measurement, value| {
            self.campaign.emit_figure(point, measurement, NodeKind::Real, value);
        };
        emit(Measurement::LateOrMissingAnswers, counts.late_or_missing as f64);
        emit(Measurement::DuplicateAnswers, counts.duplicate_responses as f64);
        if !counts.latencies.is_empty() {
            emit(Measurement::LatencyMedian, quantile(&mut counts.latencies, 0.5));
            emit(Measurement::LatencyP99, quantile(&mut counts.latencies, TAIL_QUANTILE));
        }
    }
}
