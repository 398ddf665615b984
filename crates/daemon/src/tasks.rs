//! Ownership of the tasks of a node: every task belongs to a group, which can be aborted and joined.
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use tokio::task::JoinSet;

/// A group of tasks on this thread. Clones share the group.
#[derive(Clone, Default)]
pub struct TaskGroup(Rc<RefCell<JoinSet<()>>>);

impl TaskGroup {
    /// Starts a task of this group, and frees those that have ended.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        let mut tasks = self.0.borrow_mut();
        while tasks.try_join_next().is_some() {}
        tasks.spawn_local(task);
    }

    /// Aborts all tasks, and returns once each has ended.
    pub async fn shutdown(&self) {
        let mut tasks = self.0.take();
        tasks.shutdown().await;
    }
}
