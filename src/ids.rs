//! Ids of what hosts and the decision module speak about. Each is valid for one instance of the module alone.

/// A request, as its host numbers it; never used for two of them.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct RequestId(pub u64);

slotmap::new_key_type! {
    /// An executor: the handle that the host gave it when it first heard of it, a slot and its generation.
    ///
    /// The host takes handles out of a [`slotmap::SlotMap`], whose slots stand in the order of first mention,
    /// and gives a slot to another executor only after [`crate::Action::ReleaseExecutor`]; the generation
    /// tells both apart.
    pub struct ExecutorId;
}

/// The running number of an attempt within its request, from 0.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct AttemptId(pub u32);

/// A class of requests that share their terms: an index into [`crate::Settings::classes`].
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
