//! Ownership of the tasks of a node: a task group aborts and joins them when the node shuts down.
//!
//! Two tasks are owned separately: the driver by the node, which stops when the driver does, and the timer of a drain
//! by the lifecycle.
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use tokio::task::{AbortHandle, JoinSet};

/// A group of tasks on this thread. Clones share the group.
#[derive(Clone, Default)]
pub struct TaskGroup(Rc<RefCell<JoinSet<()>>>);

impl TaskGroup {
    /// Starts a task of this group, and frees tasks that have completed. The handle can abort the task before the
    /// group is shut down; dropping the handle has no effect.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) -> AbortHandle {
        let mut tasks = self.0.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task)
    }

    /// Aborts all tasks and waits until they have ended.
    pub async fn shutdown(&self) {
        let mut tasks = self.0.take();
        tasks.shutdown().await;
    }
}
