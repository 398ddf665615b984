//! The handle through which the parts of a node send messages to the sibling process.
use super::codec::{Message, Usage};
use super::job_record::{JobIdentity, JobRecord};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::{Semaphore, mpsc, oneshot};

/// Maximum number of messages that are queued for the sibling; when the queue is full, the sibling is disconnected.
const QUEUE_CAPACITY: usize = 8192;

/// Maximum number of look-ups that wait for their answer, each of which can be as long as a line.
const MAX_LOOK_UPS: usize = 8;

/// The other process of this node. If none runs, messages are dropped and the usage is zero.
pub struct SiblingProcess {
    outbox: RefCell<Option<mpsc::Sender<Message>>>,
    /// Callers that wait until the sibling acknowledges a message, by the number of the message.
    unacknowledged: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    last_number: Cell<u64>,
    /// Look-ups without an answer, by the number of the message.
    look_ups: RefCell<HashMap<u64, oneshot::Sender<JobRecord>>>,
    look_up_permits: Semaphore,
    answers_claims: Cell<bool>,
    usage: Cell<Usage>,
}

impl Default for SiblingProcess {
    fn default() -> Self {
        SiblingProcess {
            outbox: RefCell::default(),
            unacknowledged: RefCell::default(),
            last_number: Cell::default(),
            look_ups: RefCell::default(),
            look_up_permits: Semaphore::new(MAX_LOOK_UPS),
            answers_claims: Cell::default(),
            usage: Cell::default(),
        }
    }
}

/// Removes a look-up that is no longer waited for.
struct PendingLookUp<'a> {
    sibling: &'a SiblingProcess,
    number: u64,
}

impl Drop for PendingLookUp<'_> {
    fn drop(&mut self) {
        self.sibling.look_ups.borrow_mut().remove(&self.number);
    }
}

impl SiblingProcess {
    /// The sibling's last reported usage of the limits that both processes share.
    pub fn usage(&self) -> Usage {
        self.usage.get()
    }

    /// Stores the usage that the sibling reported.
    pub fn set_usage(&self, usage: Usage) {
        self.usage.set(usage);
    }

    /// Queues a message for the sibling. If the queue is full, the sibling is disconnected.
    pub fn send(&self, message: Message) {
        let is_sent = self.outbox.borrow().as_ref().is_none_or(|outbox| outbox.try_send(message).is_ok());
        if !is_sent {
            tracing::warn!(count = QUEUE_CAPACITY, "sibling disconnected, its message queue is full");
            self.disconnect();
        }
    }

    /// Sends the token of the id of a request that this process has admitted, so that the sibling rejects duplicates.
    pub fn announce_request(&self, token: u64) {
        self.send(Message::Ids { ids: vec![token] });
    }

    /// Sends a numbered message, and notifies `done` once the sibling has acknowledged it or has disconnected.
    pub fn replicate(&self, message: impl FnOnce(u64) -> Message, done: oneshot::Sender<bool>) {
        if self.outbox.borrow().is_none() {
            let _ = done.send(true);
            return;
        }
        let number = self.next_number();
        self.unacknowledged.borrow_mut().insert(number, done);
        self.send(message(number));
    }

    fn next_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }

    /// Asks the sibling what is on record of a durable request. Returns `None` if no sibling is connected. A sibling of
    /// an earlier release never answers.
    pub async fn look_up(&self, identity: JobIdentity) -> Option<JobRecord> {
        let _permit = self.look_up_permits.acquire().await.ok()?;
        if self.outbox.borrow().is_none() {
            return None;
        }
        let number = self.next_number();
        let _pending = PendingLookUp { sibling: self, number };
        let (found, job) = oneshot::channel();
        self.look_ups.borrow_mut().insert(number, found);
        self.send(Message::LookUp { number, identity });
        job.await.ok()
    }

    /// Completes the [`look_up`](Self::look_up) call with this number.
    pub fn complete_look_up(&self, number: u64, job: JobRecord) {
        if let Some(found) = self.look_ups.borrow_mut().remove(&number) {
            let _ = found.send(job);
        }
    }

    /// Completes the [`replicate`](Self::replicate) or [`claim`](Self::claim) call with this number.
    pub fn acknowledge(&self, number: u64, is_accepted: bool) {
        if let Some(done) = self.unacknowledged.borrow_mut().remove(&number) {
            let _ = done.send(is_accepted);
        }
    }

    /// Whether the sibling answers claims; one of an earlier release does not.
    pub fn answers_claims(&self) -> bool {
        self.answers_claims.get()
    }

    /// Records that the sibling answers claims.
    pub fn set_answers_claims(&self) {
        self.answers_claims.set(true);
    }

    /// Claims the id of a request that must not run twice. Returns false if the sibling has admitted a request of this id.
    /// A sibling that disconnects has admitted none without a claim of its own.
    pub async fn claim(&self, token: u64) -> bool {
        let (done, is_granted) = oneshot::channel();
        self.replicate(|number| Message::Claim { id: token, number }, done);
        is_granted.await.unwrap_or(true)
    }

    /// Starts to queue messages for a sibling, and returns the receiving end of the queue.
    pub fn connect(&self) -> mpsc::Receiver<Message> {
        let (sender, queue) = mpsc::channel(QUEUE_CAPACITY);
        self.outbox.replace(Some(sender));
        queue
    }

    /// Drops the connection: resets the sibling's usage and completes all calls that wait for it.
    pub fn disconnect(&self) {
        self.outbox.replace(None);
        self.answers_claims.set(false);
        self.usage.set(Usage::default());
        self.unacknowledged.borrow_mut().drain().for_each(|(_, done)| _ = done.send(true));
        self.look_ups.borrow_mut().clear();
    }
}
