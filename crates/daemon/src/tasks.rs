//! Ownership of the tasks of a node, which end with it: a group aborts and joins them.
//!
//! Two owners keep a task of their own: the node its driver, whose end ends the node, and the lifecycle the timer of
//! a drain.
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use tokio::task::{AbortHandle, JoinSet};

/// A group of tasks on this thread. Clones share the group.
#[derive(Clone, Default)]
pub struct TaskGroup(Rc<RefCell<JoinSet<()>>>);

impl TaskGroup {
    /// Starts a task of this group, and frees those that have ended. The handle can abort the task before the group
    /// ends; dropping it has no effect.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) -> AbortHandle {
        let mut tasks = self.0.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task)
    }

    /// Aborts all tasks, and returns once each has ended.
    pub async fn shutdown(&self) {
        let mut tasks = self.0.take();
        tasks.shutdown().await;
    }
}
