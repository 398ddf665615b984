//! Measures configuration reloads: the time until a change is in force, and its CPU and memory cost.
use super::{CHANGE_PROCESSING_TIME, Cluster, IoContext, RunError, millis, quantile};
use crate::node_config::ADDED_CLASS;
use crate::node_process::Usage;
use crate::real_node::RealNode;
use crate::row::{Measurement, NodeKind, Phase};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Time that a node has to apply a changed configuration.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two requests that check whether the new configuration is in force.
const RELOAD_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// HTTP status of a request whose class is not in the settings in force.
const UNKNOWN_CLASS_STATUS: u16 = 404;
/// Quantile that selects the largest value among the nodes.
const MAX_QUANTILE: f64 = 1.0;

/// Cost of one reload to a node.
struct ReloadCost {
    cpu_ms: f64,
    /// Rise of the peak resident memory in bytes.
    memory_growth_bytes: f64,
}

impl Cluster<'_, '_> {
    /// Lets each node in turn reload a configuration with one more request class, then the original one, and emits
    /// the largest values.
    pub(super) async fn measure_config_change(&self) -> Result<(), RunError> {
        let (mut delays, mut cpu, mut growth) = (Vec::new(), Vec::new(), Vec::new());
        for node in &self.nodes {
            delays.push(self.measure_reload_delay(node).await?);
            let cost = self.measure_reload_cost(node).await?;
            cpu.push(cost.cpu_ms);
            growth.push(cost.memory_growth_bytes);
        }
        let point = self.point(Phase::ConfigChange);
        let emit_max = |measurement, values: &mut Vec<f64>| {
            self.campaign.emit_figure(point, measurement, NodeKind::Real, quantile(values, MAX_QUANTILE));
        };
        emit_max(Measurement::ConfigDelay, &mut delays);
        emit_max(Measurement::ConfigCpu, &mut cpu);
        emit_max(Measurement::ConfigMemory, &mut growth);
        Ok(())
    }

    fn reload(&self, node: &RealNode, has_added_class: bool) -> Result<(), RunError> {
        let reloaded = node.reload(&self.node_context(), has_added_class);
        reloaded.context(format!("changing the configuration of real node {}", node.number()))
    }

    /// Adds a request class and returns the time in milliseconds from the reload signal until the first request of that
    /// class was sent that the node did not refuse as one of an unknown class.
    async fn measure_reload_delay(&self, node: &RealNode) -> Result<f64, RunError> {
        let signalled_at = Instant::now();
        self.reload(node, true)?;
        loop {
            let sent_after = signalled_at.elapsed();
            let status = node.clients.send_request(ADDED_CLASS).await;
            if status.is_some_and(|status| status != UNKNOWN_CLASS_STATUS) {
                return Ok(millis(sent_after));
            }
            if sent_after > RELOAD_TIMEOUT {
                return Err(RunError::NotReloaded { node: node.number(), within: RELOAD_TIMEOUT });
            }
            sleep(RELOAD_POLL_INTERVAL).await;
        }
    }

    /// Removes the added class from an otherwise idle node and returns the cost of that reload: its CPU time beyond the
    /// idle CPU time, and the growth of the memory.
    async fn measure_reload_cost(&self, node: &RealNode) -> Result<ReloadCost, RunError> {
        let read_usage = || -> Result<Usage, RunError> {
            node.usage().context(format!("reading the resource usage of real node {}", node.number()))
        };
        sleep(CHANGE_PROCESSING_TIME).await;
        let idle_start = read_usage()?;
        sleep(CHANGE_PROCESSING_TIME).await;
        node.reset_peak();
        let before = read_usage()?;
        self.reload(node, false)?;
        sleep(CHANGE_PROCESSING_TIME).await;
        let after = read_usage()?;
        let idle_ms = millis(before.cpu.saturating_sub(idle_start.cpu));
        let growth = after.peak_resident_bytes.saturating_sub(before.resident_bytes);
        Ok(ReloadCost {
            cpu_ms: (millis(after.cpu.saturating_sub(before.cpu)) - idle_ms).max(0.0),
            memory_growth_bytes: growth as f64,
        })
    }
}
