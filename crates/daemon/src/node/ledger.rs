//! Opens the ledger of durable requests, which only one process can have open at a time.
use super::shared::Shared;
use crate::config::durable::DurableConfig;
use crate::downstream::DownstreamServer;
use crate::durable::{Durable, DurableDependencies, DurableError};
use crate::upstream::ExecutorPool;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Interval between attempts to open a ledger that another process has open.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Opens the ledger and connects it to the parts of the node that use it.
pub struct LedgerOpener {
    /// The operator's configuration of durable requests.
    pub config: DurableConfig,
    /// The values that the parts of the node share.
    pub shared: Shared,
    /// Accepts durable requests once the ledger is open.
    pub downstream: Rc<DownstreamServer>,
    /// Records attempts once the ledger is open.
    pub executors: Rc<ExecutorPool>,
}

impl LedgerOpener {
    /// Opens the ledger. From then on durable requests are accepted, and requests that were open are recovered.
    ///
    /// # Errors
    /// If the ledger cannot be opened, for instance because another process has it open.
    pub fn open(&self) -> Result<(), DurableError> {
        let durable = Durable::open(
            self.config.clone(),
            DurableDependencies {
                limits: self.shared.limits.clone(),
                clock: self.shared.clock,
                codec: self.shared.codec.clone(),
                events: self.shared.events.clone(),
                tasks: self.shared.tasks.clone(),
            },
        )?;
        let _ = self.executors.durable.set(durable.clone());
        self.downstream.set_ledger(durable.clone());
        let reserved_bytes = self.downstream.request_bytes.clone();
        self.shared.tasks.spawn(durable.clone().recover(self.shared.lifecycle.watch(), reserved_bytes));
        self.shared.tasks.spawn(durable.forget_answered());
        Ok(())
    }

    /// Opens the ledger once the old process has released it. Until then durable requests are rejected.
    pub async fn open_once_released(self) {
        tracing::info!("durable requests rejected until the old process releases the ledger");
        let mut last_error = String::new();
        loop {
            sleep(RETRY_INTERVAL).await;
            let Err(error) = self.open() else { return };
            let error = error.to_string();
            if error != last_error {
                tracing::info!(%error, "ledger not released yet");
                last_error = error;
            }
        }
    }
}
