//! The registry of a host's executors: names by handle, and handles by name.
use slotmap::SlotMap;
use std::collections::HashMap;
use troutknot::ExecutorId;

/// A registry of executor names by generational handles.
///
/// Slots are assigned in the order of registration. A released slot is reused with another generation, so that an
/// outdated handle has no name.
///
/// ```
/// use troutknot_membership::ExecutorRegistry;
/// let mut registry = ExecutorRegistry::default();
/// let (a, b) = (registry.register("a"), registry.register("b"));
/// assert_eq!((registry.register("a"), registry.name(b)), (a, Some("b")));
/// assert_eq!(registry.release(b).as_deref(), Some("b"));
/// let c = registry.register("c");
/// assert_eq!((registry.name(b), registry.name(c)), (None, Some("c")));
/// ```
#[derive(Default)]
pub struct ExecutorRegistry {
    names: SlotMap<ExecutorId, Box<str>>,
    handles: HashMap<Box<str>, ExecutorId>,
}

impl ExecutorRegistry {
    /// Returns the handle of an executor, and registers the name if it is new.
    pub fn register(&mut self, name: &str) -> ExecutorId {
        if let Some(executor) = self.get(name) {
            return executor;
        }
        let executor = self.names.insert(name.into());
        self.handles.insert(name.into(), executor);
        executor
    }

    /// Returns the handle of an executor, and registers the name if it is new and fewer than `limit` are registered;
    /// otherwise returns `None`. Guards against a list with more executors than fit into memory.
    ///
    /// ```
    /// let mut registry = troutknot_membership::ExecutorRegistry::default();
    /// let a = registry.register_within("a", 1);
    /// assert_eq!((registry.register_within("b", 1), registry.register_within("a", 1)), (None, a));
    /// registry.release(a.unwrap());
    /// assert!(registry.register_within("b", 1).is_some());
    /// ```
    pub fn register_within(&mut self, name: &str, limit: usize) -> Option<ExecutorId> {
        let fits = self.names.len() < limit || self.handles.contains_key(name);
        fits.then(|| self.register(name))
    }

    /// Returns the number of executors that fit without a reallocation.
    pub fn capacity(&self) -> usize {
        self.names.capacity()
    }

    /// Reserves memory for this number of executors in total.
    pub fn reserve(&mut self, executors: usize) {
        let additional = executors.saturating_sub(self.names.len());
        self.names.reserve(additional);
        self.handles.reserve(additional);
    }

    /// Returns the handle of a registered name.
    pub fn get(&self, name: &str) -> Option<ExecutorId> {
        self.handles.get(name).copied()
    }

    /// Returns the name of an executor; `None` for a released handle.
    pub fn name(&self, executor: ExecutorId) -> Option<&str> {
        self.names.get(executor).map(|name| &**name)
    }

    /// Returns all handles in the order of their slots.
    pub fn handles(&self) -> impl Iterator<Item = ExecutorId> {
        self.names.keys()
    }

    /// Returns the number of registered executors.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no executor is registered.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Removes an executor and returns its name; `None` if the handle was already released.
    pub fn release(&mut self, executor: ExecutorId) -> Option<Box<str>> {
        let name = self.names.remove(executor)?;
        self.handles.remove(&name);
        Some(name)
    }
}
