//! The fleet is replaced under new names some times over, and after each turnover clients send at each rate.
use super::{Cluster, RunError, TAIL_QUANTILE, quantile};
use crate::catalog::State;
use crate::clients::Outcome;
use crate::discovery::ListTraffic;
use crate::executor_counts::{Report, Traffic};
use crate::node_process::Usage;
use crate::row::{Measurement, NodeKind, OperatingPoint, Phase};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A rollout replaces so many executors at a time.
const ROLLOUT_BATCH: usize = 1000;
/// How often the open sockets of nodes are counted.
const SOCKET_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// All that counts, as it stands at one moment.
pub(super) struct Reading {
    at: Instant,
    usage: Vec<Usage>,
    executors: Traffic,
    report: Report,
    lists: Vec<ListTraffic>,
}

/// What the nodes did between two readings.
pub(super) struct Interval {
    seconds: f64,
    /// Of the busiest node.
    cpu_share: f64,
    cpu: Duration,
    /// What the executors reported at the end; its traffic is that since the start of the run.
    pub(super) report: Report,
    executors: Traffic,
    list_bytes: u64,
    list_lines: u64,
    peak_resident_bytes: u64,
}

impl Cluster<'_, '_> {
    /// From here on the executors' report begins anew.
    pub(super) async fn read(&self) -> Result<Reading, RunError> {
        let report = self.campaign.executors.report().await;
        Ok(Reading {
            at: Instant::now(),
            usage: self.usage()?,
            executors: report.real_nodes,
            report,
            lists: self.nodes.iter().map(|node| node.agent.traffic()).collect(),
        })
    }

    /// A node that was restarted meanwhile counts with what its last process used.
    pub(super) async fn since(&self, before: &Reading) -> Result<Interval, RunError> {
        let now = self.read().await?;
        let seconds = now.at.duration_since(before.at).as_secs_f64().max(1e-9);
        let used = now.usage.iter().zip(&before.usage);
        let cpu: Vec<Duration> =
            used.map(|(now, before)| now.cpu.checked_sub(before.cpu).unwrap_or(now.cpu)).collect();
        let lists = now.lists.iter().zip(&before.lists);
        Ok(Interval {
            seconds,
            cpu_share: cpu.iter().max().map_or(0.0, |cpu| cpu.as_secs_f64() / seconds),
            cpu: cpu.iter().sum(),
            executors: now.executors.since(before.executors),
            report: now.report,
            list_bytes: lists.clone().map(|(now, before)| now.bytes - before.bytes).max().unwrap_or(0),
            list_lines: lists.map(|(now, before)| now.lines - before.lines).max().unwrap_or(0),
            peak_resident_bytes: now.usage.iter().map(|usage| usage.peak_resident_bytes).max().unwrap_or(0),
        })
    }

    pub(super) async fn measure_loads(&self) -> Result<(), RunError> {
        let load = &self.campaign.file.load;
        for turnover in &load.turnovers {
            self.replace_until(*turnover).await?;
            self.nodes.iter().for_each(|node| node.reset_peak());
            let hollow = self.start_hollow_nodes().await?;
            let idle = self.idle_cpu(load.settle_time).await?;
            self.emit_left_out(OperatingPoint { turnover: *turnover, ..self.point(Phase::Steady) }).await;
            for rate in &load.rates {
                let point = OperatingPoint { turnover: *turnover, rate: *rate, ..self.point(Phase::Steady) };
                let before = hollow.as_ref().map(|hollow| {
                    hollow.set_rate(*rate);
                    hollow.read()
                });
                self.measure_rate(point, idle, load.measurement_time).await?;
                if let Some((hollow, before)) = hollow.as_ref().zip(before) {
                    self.emit_hollow(point, hollow, &before);
                }
            }
        }
        Ok(())
    }

    /// Replaces executors, some at a time, until the whole fleet was replaced so often.
    async fn replace_until(&self, turnover: f64) -> Result<(), RunError> {
        let size = self.fleet.size();
        let goal = (turnover * size as f64).round() as usize;
        let point = OperatingPoint { turnover, ..self.point(Phase::Steady) };
        while self.fleet.replaced() < goal {
            let first = self.fleet.replaced() % size;
            let last = (first + ROLLOUT_BATCH).min(size).min(first + goal - self.fleet.replaced());
            self.fleet.publish(first..last, State::Gone);
            self.wait_told().await?;
            self.fleet.return_renamed(first..last).await;
            self.wait_told().await?;
        }
        self.emit_delays(point);
        Ok(())
    }

    async fn measure_rate(&self, point: OperatingPoint, idle: f64, length: Duration) -> Result<(), RunError> {
        let before = self.read().await?;
        let (outcome, sockets) = self.play_clients(point.rate, length).await;
        let interval = self.since(&before).await?;
        self.emit_interval(point, &interval, &outcome);
        let requests = outcome.sent.max(1) as f64;
        let cpu = interval.cpu.as_secs_f64() - idle * interval.seconds;
        let figure = |measurement, value| {
            self.campaign.figure(point, measurement, NodeKind::Real, value);
        };
        figure(Measurement::CpuPerRequest, cpu.max(0.0) * 1000.0 / requests);
        figure(Measurement::ConnectionsPerRequest, interval.executors.connections as f64 / requests);
        figure(Measurement::ProbesPerRequest, interval.executors.probes as f64 / requests);
        figure(Measurement::OpenSockets, sockets as f64);
        self.emit_outcome(point, outcome);
        self.emit_breaches(point, &interval.report);
        self.emit_delays(point);
        figure(Measurement::ReachedExecutors, interval.report.reached as f64);
        Ok(())
    }

    /// Clients send at each node; what became of the requests, and the most sockets that a node had open.
    pub(super) async fn play_clients(&self, rate: f64, length: Duration) -> (Outcome, usize) {
        let mut playing = JoinSet::new();
        for node in &self.nodes {
            let clients = node.clients.clone();
            playing.spawn_local(async move { clients.play(rate, length).await });
        }
        let (mut sum, mut sockets) = (Outcome::default(), 0);
        while !playing.is_empty() {
            tokio::select! {
                ended = playing.join_next() => if let Some(Ok(outcome)) = ended {
                    sum.add(&outcome);
                },
                () = sleep(SOCKET_SAMPLE_INTERVAL) => {
                    let open = self.nodes.iter().filter_map(|node| node.open_sockets().ok());
                    sockets = open.fold(sockets, usize::max);
                }
            }
        }
        (sum, sockets)
    }

    pub(super) fn emit_interval(&self, point: OperatingPoint, interval: &Interval, outcome: &Outcome) {
        let figure = |measurement, value| {
            self.campaign.figure(point, measurement, NodeKind::Real, value);
        };
        let per_node_second = interval.seconds * self.nodes.len().max(1) as f64;
        figure(Measurement::Requests, outcome.sent as f64);
        figure(Measurement::Completed, outcome.completed as f64);
        figure(Measurement::CpuShare, interval.cpu_share);
        figure(Measurement::Memory, interval.peak_resident_bytes as f64);
        figure(Measurement::ListBytes, interval.list_bytes as f64 / interval.seconds);
        figure(Measurement::ListUpdates, interval.list_lines as f64 / interval.seconds);
        figure(Measurement::Probes, interval.executors.probes as f64 / per_node_second);
        figure(Measurement::Dispatches, interval.executors.attempts as f64 / per_node_second);
        figure(Measurement::ExecutorBytes, interval.executors.bytes_in as f64 / interval.seconds);
    }

    pub(super) fn emit_outcome(&self, point: OperatingPoint, mut outcome: Outcome) {
        let figure = |measurement, value| {
            self.campaign.figure(point, measurement, NodeKind::Real, value);
        };
        figure(Measurement::LateOrMissingAnswers, outcome.late_or_missing as f64);
        figure(Measurement::DuplicateAnswers, outcome.doubled as f64);
        if !outcome.latencies.is_empty() {
            figure(Measurement::LatencyMedian, quantile(&mut outcome.latencies, 0.5));
            figure(Measurement::LatencyP99, quantile(&mut outcome.latencies, TAIL_QUANTILE));
        }
    }
}
