//! Nodes read a changed configuration: how long until it is in force, and what that costs.
use super::{Cluster, Doing, EFFECT_TIME, RunError, millis, quantile};
use crate::node_config::ADDED_CLASS;
use crate::node_process::Usage;
use crate::real_node::RealNode;
use crate::row::{Measurement, NodeKind, Phase};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// A changed configuration that is not in force by then is given up.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(10);
const RELOAD_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The answer on a class of requests that the settings in force do not name.
const UNKNOWN_CLASS: u16 = 404;
/// Of the figures of all nodes the largest stands.
const WORST: f64 = 1.0;

/// What one reading cost a node.
struct Cost {
    cpu_ms: f64,
    /// By which the peak of the resident memory rose.
    growth_bytes: f64,
}

impl Cluster<'_, '_> {
    /// Each node in turn reads a configuration with one class of requests more, and the one before again.
    pub(super) async fn measure_config_change(&self) -> Result<(), RunError> {
        let (mut delays, mut cpu, mut growth) = (Vec::new(), Vec::new(), Vec::new());
        for node in &self.nodes {
            delays.push(self.time_until_added(node).await?);
            let cost = self.cost_of_removal(node).await?;
            cpu.push(cost.cpu_ms);
            growth.push(cost.growth_bytes);
        }
        let point = self.point(Phase::ConfigChange);
        let figure = |measurement, values: &mut Vec<f64>| {
            self.campaign.figure(point, measurement, NodeKind::Real, quantile(values, WORST));
        };
        figure(Measurement::ConfigDelay, &mut delays);
        figure(Measurement::ConfigCpu, &mut cpu);
        figure(Measurement::ConfigMemory, &mut growth);
        Ok(())
    }

    fn reload(&self, node: &RealNode, added_class: bool) -> Result<(), RunError> {
        let reloaded = node.reload(&self.surroundings(), added_class);
        reloaded.doing(format!("changing the configuration of real node {}", node.number()))
    }

    /// From the signal to when the first request was sent that was taken by the new settings, in milliseconds.
    async fn time_until_added(&self, node: &RealNode) -> Result<f64, RunError> {
        let began = Instant::now();
        self.reload(node, true)?;
        loop {
            let asked = began.elapsed();
            let status = node.clients.ask(ADDED_CLASS).await;
            if status.is_some_and(|status| status != UNKNOWN_CLASS) {
                return Ok(millis(asked));
            }
            if asked > RELOAD_TIMEOUT {
                return Err(RunError::NotReloaded { node: node.number(), within: RELOAD_TIMEOUT });
            }
            sleep(RELOAD_POLL_INTERVAL).await;
        }
    }

    /// While nothing else happens.
    async fn cost_of_removal(&self, node: &RealNode) -> Result<Cost, RunError> {
        let usage = || -> Result<Usage, RunError> {
            node.usage().doing(format!("reading what real node {} has used", node.number()))
        };
        sleep(EFFECT_TIME).await;
        let rested_from = usage()?;
        sleep(EFFECT_TIME).await;
        node.reset_peak();
        let before = usage()?;
        self.reload(node, false)?;
        sleep(EFFECT_TIME).await;
        let after = usage()?;
        let idle = millis(before.cpu.saturating_sub(rested_from.cpu));
        let growth = after.peak_resident_bytes.saturating_sub(before.resident_bytes);
        Ok(Cost {
            cpu_ms: (millis(after.cpu.saturating_sub(before.cpu)) - idle).max(0.0),
            growth_bytes: growth as f64,
        })
    }
}
