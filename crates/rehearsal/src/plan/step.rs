//! The steps of a plan: changes to executors, nodes and discovery.
use crate::scenario::DiscoveryFault;
use troutknot_emulator::Fault;

/// A change to executors, nodes or discovery at a time of the day. Executors and nodes are named by their index.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A fault is injected into an executor. `number` is the index of the fault in the scenario.
    FaultBegins { number: usize, executor: usize, fault: Fault },
    /// A fault ends.
    FaultEnds { number: usize, executor: usize },
    /// A replacement executor starts, with a slow start, and is listed.
    Join { executor: usize },
    /// The executor is listed as draining, and drains.
    Drain { executor: usize },
    /// The executor ends and is removed from the list.
    Leave { executor: usize },
    /// The executor crashes.
    KillExecutor { executor: usize },
    /// A crashed executor runs again.
    RestartExecutor { executor: usize },
    /// Discovery notices that the executor is dead and removes it from the list.
    ListRemoved { executor: usize },
    /// The executor registers again, with a new start time.
    ListRestarted { executor: usize },
    /// SIGKILL to a node.
    KillNode { node: usize },
    /// SIGTERM to a node.
    TerminateNode { node: usize },
    /// A new process of a node starts.
    StartNode { node: usize },
    /// Every node gets a new configuration file, with another discovery address, and SIGHUP.
    ReloadNodes,
    /// Discovery sends nothing while silent.
    SilenceDiscovery { silent: bool },
    /// Discovery restarts and closes every watch of its list.
    RestartDiscovery,
    /// A healthy executor is listed as failing its health check.
    ListFailing { executor: usize },
    /// The executor is listed as passing its health check again.
    ListPassing { executor: usize },
    /// A fault of Consul's agents begins, or ends if `None`.
    DiscoveryFault { fault: Option<DiscoveryFault> },
    /// Operators suspend the executor at all nodes, or resume it.
    SuspendExecutor { executor: usize, suspended: bool },
    /// Operators drain a node, or activate it again.
    DrainNode { node: usize, drained: bool },
    /// A hot restart: the next process of a node takes over its listening socket.
    HotRestartNode { node: usize },
    /// Every node gets new settings and SIGHUP; `broken` settings lack a required key.
    ReconfigureNodes { max_attempts: u32, broken: bool },
}
