//! Loopback addresses of a rehearsal.
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};

const FIRST_NODE_NET: u8 = 70;
const FIRST_EXECUTOR_NET: u8 = FIRST_NODE_NET + 1;
const AGENT_NET: u8 = FIRST_NODE_NET + 10;
const EXECUTORS_PER_NET: usize = 1000;
const HOSTS_PER_SUBNET: usize = 250;
const SUBNETS_PER_REHEARSAL: usize = 4;
const SUBNET_SLOTS: usize = 60;

/// Allocates a loopback address of its own to each node, executor and agent, so that no outgoing connection takes the
/// port of a listener that is down.
#[derive(Clone, Copy)]
pub struct Addresses {
    slot: usize,
}

impl Addresses {
    /// Allocates a range that differs from other rehearsals in this process, and probably from those in other
    /// processes.
    pub fn fresh() -> Self {
        static REHEARSALS: AtomicUsize = AtomicUsize::new(0);
        let number = REHEARSALS.fetch_add(1, Ordering::Relaxed);
        Addresses { slot: (std::process::id() as usize).wrapping_mul(7).wrapping_add(number) % SUBNET_SLOTS }
    }

    /// The address of a node; its port is 0.
    pub fn node(self, number: usize) -> SocketAddr {
        self.address(FIRST_NODE_NET, number)
    }

    /// The address of an executor; its port is 0.
    pub fn executor(self, number: usize) -> SocketAddr {
        self.address(FIRST_EXECUTOR_NET + (number / EXECUTORS_PER_NET) as u8, number)
    }

    /// The address of the discovery agent on a node's machine; its port is 0.
    pub fn agent(self, number: usize) -> SocketAddr {
        self.address(AGENT_NET, number)
    }

    fn address(self, net: u8, number: usize) -> SocketAddr {
        let subnet = number / HOSTS_PER_SUBNET % SUBNETS_PER_REHEARSAL;
        let third = (SUBNETS_PER_REHEARSAL * self.slot + subnet) as u8;
        let host = (number % HOSTS_PER_SUBNET + 1) as u8;
        SocketAddr::from((Ipv4Addr::new(127, net, third, host), 0))
    }
}
