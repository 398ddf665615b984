//! Ids in events and actions. Each is valid for one instance of the decision module.

/// A request; the host assigns a unique number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct RequestId(pub u64);

slotmap::new_key_type! {
    /// An executor: the handle that the host assigned when it first learned of it, a slot and a generation.
    ///
    /// The host assigns handles from a [`slotmap::SlotMap`], whose slots are in the order of assignment. It
    /// reuses a slot only after [`crate::Action::ReleaseExecutor`], with another generation.
    pub struct ExecutorId;
}

/// The running number of an attempt within its request, from 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct AttemptId(pub u32);

/// A class of requests with the same terms: an index into [`crate::Settings::classes`].
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Debug)]
pub struct RequestClassId(pub u32);

/// A tenant: an index into [`crate::Settings::tenants`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct TenantId(pub u32);

/// A zone, in which executors and nodes fail together.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ZoneId(pub u32);

/// A type of machine: machines of one type share a size and a typical speed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct MachineTypeId(pub u32);

/// A group of executors that recognize each other's repeats of deduplicated work.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct DeduplicationGroupId(pub u32);
