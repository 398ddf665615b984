//! Ids used in events and actions. Each is valid for one instance of the dispatcher.

/// The id of a request: a unique number that the host assigns.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct RequestId(pub u64);

slotmap::new_key_type! {
    /// The handle of an executor, made of a slot and a generation. The host assigns it when the executor is first
    /// listed.
    ///
    /// The host assigns handles from a [`slotmap::SlotMap`], whose slots are in the order of assignment. It reuses a
    /// slot only after [`crate::Action::ReleaseExecutor`], with another generation.
    pub struct ExecutorId;
}

/// The number of an attempt within its request, from 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct AttemptId(pub u32);

/// The id of a class of requests with the same terms: an index into [`crate::Settings::classes`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Debug)]
pub struct RequestClassId(pub u32);

/// The id of a tenant: an index into [`crate::Settings::tenants`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TenantId(pub u32);

/// The id of a zone, a failure domain of executors and nodes.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ZoneId(pub u32);

/// The id of a machine type. Machines of one type have the same size and a similar speed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct MachineTypeId(pub u32);

/// The id of a group of executors that recognize each other's repeats of deduplicated requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DeduplicationGroupId(pub u32);
