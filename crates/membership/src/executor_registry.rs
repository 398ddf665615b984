//! The executors that a host keeps in mind: names by handle, and handles by name.
use slotmap::SlotMap;
use std::collections::HashMap;
use troutknot::ExecutorId;

/// Names of executors under handles with a generation.
///
/// Slots are given in the order of first mention. A released slot is given to another executor under another
/// generation, so a handle from before finds nothing.
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
    /// The handle of an executor; a name that is not registered gets a new one.
    pub fn register(&mut self, name: &str) -> ExecutorId {
        if let Some(executor) = self.get(name) {
            return executor;
        }
        let executor = self.names.insert(name.into());
        self.handles.insert(name.into(), executor);
        executor
    }

    /// The same where at most `limit` are registered at a time; none for one name more. Guards against a list that
    /// names more executors than there is memory for.
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

    /// How many fit before the registry has to grow.
    pub fn capacity(&self) -> usize {
        self.names.capacity()
    }

    /// Makes room for so many in all, at once.
    pub fn reserve(&mut self, executors: usize) {
        let more = executors.saturating_sub(self.names.len());
        self.names.reserve(more);
        self.handles.reserve(more);
    }

    /// The handle of a name that is registered.
    pub fn get(&self, name: &str) -> Option<ExecutorId> {
        self.handles.get(name).copied()
    }

    /// The name of an executor; none for a handle that was released.
    pub fn name(&self, executor: ExecutorId) -> Option<&str> {
        self.names.get(executor).map(|name| &**name)
    }

    /// All handles in the order of their slots.
    pub fn handles(&self) -> impl Iterator<Item = ExecutorId> {
        self.names.keys()
    }

    /// How many are registered.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether none is registered.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Forgets an executor; its name, unless it was released before.
    pub fn release(&mut self, executor: ExecutorId) -> Option<Box<str>> {
        let name = self.names.remove(executor)?;
        self.handles.remove(&name);
        Some(name)
    }
}
