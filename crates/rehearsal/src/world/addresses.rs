//! Loopback addresses of a rehearsal.
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};

/// Second octet of the nodes' addresses.
const NODE_NET: u8 = 70;
/// Second octet of the first 1000 executors' addresses; each further 1000 have the next one.
const FIRST_EXECUTOR_NET: u8 = NODE_NET + 1;
/// Second octet of the discovery agents' addresses.
const AGENT_NET: u8 = NODE_NET + 10;
const EXECUTORS_PER_NET: usize = 1000;
const HOSTS_PER_SUBNET: usize = 250;
const SUBNETS_PER_REHEARSAL: usize = 4;
/// Number of ranges that rehearsals use, each of 4 values of the third octet.
const RANGE_COUNT: usize = 60;

/// Allocates a loopback address of its own to each node, executor and agent, so that no outgoing connection takes the
/// port of a listener that is down.
#[derive(Clone, Copy)]
pub struct Addresses {
    /// Index of the range, from 0.
    range: usize,
}

impl Addresses {
    /// Allocates a range that differs from other rehearsals in this process, and probably from those in other
    /// processes.
    pub fn fresh() -> Self {
        static REHEARSALS: AtomicUsize = AtomicUsize::new(0);
        let number = REHEARSALS.fetch_add(1, Ordering::Relaxed);
        Addresses { range: (std::process::id() as usize).wrapping_mul(7).wrapping_add(number) % RANGE_COUNT }
    }

    /// The address of a node; its port is 0.
    pub fn node(self, number: usize) -> SocketAddr {
        self.address(NODE_NET, number)
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
        let third_octet = (SUBNETS_PER_REHEARSAL * self.range + subnet) as u8;
        let host = (number % HOSTS_PER_SUBNET + 1) as u8;
        SocketAddr::from((Ipv4Addr::new(127, net, third_octet, host), 0))
    }
}
