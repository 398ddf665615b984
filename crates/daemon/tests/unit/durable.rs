//! Acceptance and rejection of durable requests on a simulated disk that is slow or fails.
use super::*;
use crate::byte_budget::ByteBudget;
use crate::config::limits::LimitInputs;
use crate::in_flight::{Answer, ClientRequest, InFlightRequest};
use common::SimulatedDisk;
use std::cell::RefCell;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::timeout;
use troutknot_ledger::store::Rows;

#[path = "../../../ledger/tests/common/mod.rs"]
mod common;

/// Upper bound on each wait of a test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than the time after which a write that is not begun is cancelled.
const SLOW_SYNC: Duration = Duration::from_millis(60);

/// A ledger on a simulated disk, with the ids of the requests that were rejected so far.
struct TestLedger {
    disk: SimulatedDisk,
    durable: Rc<Durable>,
    budget: Rc<ByteBudget>,
    rejected: RefCell<Vec<String>>,
    /// Receives what the ledger sends to the driver.
    _events: mpsc::Receiver<NodeEvent>,
}

impl TestLedger {
    /// Opens a ledger that syncs each record by itself.
    fn open() -> Rc<Self> {
        let disk = SimulatedDisk::default();
        let config = toml::from_str("path = \"unused\"\nsync = \"each\"\nslow_after = \"10ms\"").unwrap();
        let limits = Limits::new(&LimitInputs { memory_mb: 64, max_sockets: 128, ..LimitInputs::default() });
        let (events, received) = mpsc::channel(16);
        let dependencies = DurableDependencies {
            limits: Rc::new(limits),
            clock: Clock::start(),
            codec: Codec::with_effect("unsafe"),
            events,
            tasks: TaskGroup::default(),
        };
        let backend = disk.clone();
        let open = Box::new(move || Store::with_backend(backend.clone()));
        let durable = Durable::open_store(config, dependencies, open).unwrap();
        let (budget, rejected) = (ByteBudget::new(1 << 20), RefCell::default());
        Rc::new(TestLedger { disk, durable, budget, rejected, _events: received })
    }

    /// Submits a request, notes its id if it is rejected, and returns its answer; `None` if it is accepted.
    async fn submit(self: Rc<Self>, number: u64) -> Option<Answer> {
        let client_id = format!("id-{number}");
        let request = ClientRequest::with_body_size(&client_id, 16);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let in_flight = InFlightRequest::new(RequestId(number), request, deadline, &self.budget).unwrap();
        let answer = match self.durable.accept(&in_flight, deadline).await {
            Acceptance::Recorded(_) => return None,
            Acceptance::Rejected(answer) => answer,
            Acceptance::Withdrawn(pending) => pending.answered().await,
        };
        if let Answer::Rejected(_) = answer {
            self.rejected.borrow_mut().push(client_id);
        }
        Some(answer)
    }

    /// Returns once the ledger's thread has done a further operation of the disk after this one.
    async fn wait_for_operation_after(&self, operation_count: u64) {
        while self.disk.operation_count() == operation_count {
            yield_now().await;
        }
    }

    /// Panics if a process that is killed now would leave a rejected request to be recovered.
    fn assert_rejected_are_not_recovered(&self) {
        for disk in [self.disk.crash(7), SimulatedDisk::from_bytes(self.disk.bytes())] {
            let store = Store::with_backend(disk).unwrap();
            let mut rows = Vec::new();
            store.for_each_row(|row| rows.push(row.unwrap())).unwrap();
            let (ledger, error) = Ledger::recover(&rows);
            assert_eq!(error, None);
            for (_, job) in ledger.open_jobs() {
                assert!(!self.rejected.borrow().contains(&job.client_id), "{} would run", job.client_id);
            }
        }
    }

    /// Checks the disk until all that is queued now has been written.
    async fn assert_until_idle(&self) {
        let mut idle = std::pin::pin!(self.durable.write(Vec::new()));
        loop {
            tokio::select! {
                biased;
                written = &mut idle => return written.unwrap(),
                () = yield_now() => self.assert_rejected_are_not_recovered(),
            }
        }
    }
}

fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async { timeout(WAIT_TIMEOUT, test).await.unwrap() });
}

/// A client that is answered 503 sends its request again. If the record of the rejected one got to the disk later, a
/// node that is killed then would recover and run both.
#[test]
fn a_request_that_is_rejected_while_the_disk_is_slow_is_never_recovered() {
    run_test(async {
        let ledger = TestLedger::open();
        ledger.disk.set_sync_duration(SLOW_SYNC);
        let operation_count = ledger.disk.operation_count();
        let begun = spawn_local(ledger.clone().submit(0));
        ledger.wait_for_operation_after(operation_count).await;
        let queued: Vec<_> = (1..=4).map(|number| spawn_local(ledger.clone().submit(number))).collect();
        for submitted in queued {
            let answer = submitted.await.unwrap();
            assert!(matches!(answer, Some(Answer::Rejected(Some(_)))), "{answer:?}");
            ledger.assert_rejected_are_not_recovered();
        }
        assert!(!begun.is_finished(), "they are rejected without waiting for the disk");
        assert_eq!(begun.await.unwrap(), None, "a record that is being written is waited for");
        ledger.assert_until_idle().await;
        assert_eq!(ledger.durable.ledger.borrow().len(), 1);
    });
}

/// After a failed commit a record may be on disk. The request must not be rejected before its withdrawal is, too.
#[test]
fn a_request_whose_commit_failed_is_rejected_once_its_withdrawal_is_on_disk() {
    run_test(async {
        let ledger = TestLedger::open();
        // The record is written and synced, but the commit fails before its end.
        ledger.disk.fail_from(Some(ledger.disk.operation_count() + 4));
        let submitted = spawn_local(ledger.clone().submit(0));
        while ledger.durable.committer.check_ready(WAIT_TIMEOUT).is_ok() {
            yield_now().await;
        }
        ledger.wait_for_operation_after(ledger.disk.operation_count()).await;
        assert!(!submitted.is_finished(), "it is not rejected while its record may be on disk");
        ledger.disk.fail_from(None);
        let answer = submitted.await.unwrap();
        assert!(matches!(answer, Some(Answer::Rejected(Some(_)))), "{answer:?}");
        ledger.assert_rejected_are_not_recovered();
        ledger.assert_until_idle().await;
        assert!(ledger.durable.ledger.borrow().is_empty());
        assert_eq!(ledger.clone().submit(1).await, None, "the next request is accepted");
    });
}
