//! Durable work units with leases: what their records say, without I/O and clock.
//!
//! A record is applied in the order in which it was written; any prefix of a ledger's records is a state that a
//! crash may leave behind, and says what may still be done. Times are Unix milliseconds, handed in.
//!
//! A lease that has run out makes an allocation *unknown*, never free: exclusive work gets another only once every
//! earlier one is known not to have run, by its outcome or by its executor's word that it refuses the fence.
use std::collections::BTreeMap;
use troutknot::{AllocId, Effect, Millis, Outcome, WuId};

/// A number that grows with every allocation of a work unit; an executor that knows fences refuses a lower one.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Fence(pub u64);

/// One thing that is on record.
#[derive(Clone, PartialEq, Debug)]
pub enum Record {
    Taken {
        wu: WuId,
        effect: Effect,
        limit: Millis,
    },
    /// On record before its first byte is sent.
    Allocated {
        wu: WuId,
        fence: Fence,
        executor: String,
        lease_until: Millis,
    },
    Started {
        wu: WuId,
        alloc: AllocId,
    },
    /// A sign of life: the lease holds longer.
    Heartbeat {
        wu: WuId,
        alloc: AllocId,
        lease_until: Millis,
    },
    Ended {
        wu: WuId,
        alloc: AllocId,
        outcome: Outcome,
    },
    /// The executor confirms that it has not run this fence, and never will.
    Fenced {
        wu: WuId,
        alloc: AllocId,
    },
    /// The client's final answer, on record before it is sent.
    Answered {
        wu: WuId,
    },
    /// Nothing is kept of it any longer.
    Forgotten {
        wu: WuId,
    },
}

/// Why a record does not follow from those before it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum Broken {
    #[error("the work unit is not known")]
    UnknownWu,
    #[error("the allocation is not known")]
    UnknownAlloc,
    #[error("the work unit was taken before")]
    TakenTwice,
    #[error("the work unit has its final answer")]
    Over,
    #[error("the allocation has ended")]
    Ended,
    #[error("{0}")]
    Refused(#[from] Refused),
    #[error("the fence does not grow")]
    Fence,
    #[error("the work unit is open")]
    Open,
}

/// Why a work unit may not be allocated now.
#[derive(Clone, Copy, PartialEq, Eq, Debug, thiserror::Error)]
pub enum Refused {
    #[error("an allocation is out")]
    Out,
    #[error("an earlier allocation may have run")]
    MayHaveRun,
    #[error("it was allocated as often as it may be")]
    Most,
}

/// What is known of an allocation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Standing {
    /// Its lease holds.
    Out,
    /// Its lease ran out with no word: it may have run, may run, or may yet.
    Unknown,
    NeverRan,
    /// It ended, and may have run.
    MayHaveRun,
    Completed,
}

#[derive(Clone, PartialEq, Debug)]
pub struct Allocation {
    pub fence: Fence,
    pub executor: String,
    pub lease_until: Millis,
    pub started: bool,
    ended: Option<Outcome>,
    fenced: bool,
}

impl Allocation {
    pub fn standing(&self, now: Millis) -> Standing {
        match self.ended {
            _ if self.fenced => Standing::NeverRan,
            Some(Outcome::Completed) => Standing::Completed,
            Some(outcome) if outcome.never_ran() => Standing::NeverRan,
            Some(_) => Standing::MayHaveRun,
            None if now < self.lease_until => Standing::Out,
            None => Standing::Unknown,
        }
    }
}

#[derive(Clone, PartialEq, Debug)]
pub struct Wu {
    pub effect: Effect,
    pub limit: Millis,
    pub allocations: Vec<Allocation>,
    pub answered: bool,
}

impl Wu {
    /// Whether it may be allocated at this time, and with which fence.
    ///
    /// # Errors
    /// Why not.
    pub fn may_allocate(&self, now: Millis, most: usize) -> Result<Fence, Refused> {
        let standings = self.allocations.iter().map(|a| a.standing(now));
        let mut may_have_run = false;
        for standing in standings {
            match standing {
                Standing::Out => return Err(Refused::Out),
                Standing::NeverRan => {}
                Standing::Unknown | Standing::MayHaveRun | Standing::Completed => may_have_run = true,
            }
        }
        if may_have_run && self.effect == Effect::Exclusive {
            return Err(Refused::MayHaveRun);
        }
        if self.allocations.len() >= most {
            return Err(Refused::Most);
        }
        Ok(Fence(self.allocations.last().map_or(1, |a| a.fence.0 + 1)))
    }
}

/// All work units on record.
#[derive(Clone, PartialEq, Debug)]
pub struct Ledger {
    wus: BTreeMap<WuId, Wu>,
    most: usize,
}

impl Ledger {
    /// Empty; each work unit may be allocated `most` times.
    pub fn new(most: usize) -> Self {
        Ledger { wus: BTreeMap::new(), most }
    }

    /// What records say, up to the first that does not follow, which is named by its place.
    pub fn recover(most: usize, records: &[Record]) -> (Self, Option<(usize, Broken)>) {
        let mut ledger = Ledger::new(most);
        for (place, record) in records.iter().enumerate() {
            // Whether the lease before it had run out is not asked again: it was when it was written.
            if let Err(why) = ledger.apply(f64::INFINITY, record) {
                return (ledger, Some((place, why)));
            }
        }
        (ledger, None)
    }

    pub fn wu(&self, wu: WuId) -> Option<&Wu> {
        self.wus.get(&wu)
    }

    /// Work units without a final answer.
    pub fn open(&self) -> impl Iterator<Item = (WuId, &Wu)> {
        self.wus.iter().filter(|(_, wu)| !wu.answered).map(|(id, wu)| (*id, wu))
    }

    /// Adds a record that is on disk.
    ///
    /// # Errors
    /// Why it does not follow; nothing is changed then.
    pub fn apply(&mut self, now: Millis, record: &Record) -> Result<(), Broken> {
        match record {
            Record::Taken { wu, effect, limit } => {
                if self.wus.contains_key(wu) {
                    return Err(Broken::TakenTwice);
                }
                let taken = Wu { effect: *effect, limit: *limit, allocations: Vec::new(), answered: false };
                self.wus.insert(*wu, taken);
            }
            Record::Allocated { wu, fence, executor, lease_until } => {
                let most = self.most;
                let wu = self.open_wu(*wu)?;
                if wu.may_allocate(now, most)? > *fence {
                    return Err(Broken::Fence);
                }
                wu.allocations.push(Allocation {
                    fence: *fence,
                    executor: executor.clone(),
                    lease_until: *lease_until,
                    started: false,
                    ended: None,
                    fenced: false,
                });
            }
            Record::Started { wu, alloc } => self.running(*wu, *alloc)?.started = true,
            Record::Heartbeat { wu, alloc, lease_until } => {
                let allocation = self.running(*wu, *alloc)?;
                allocation.lease_until = allocation.lease_until.max(*lease_until);
            }
            Record::Ended { wu, alloc, outcome } => self.running(*wu, *alloc)?.ended = Some(*outcome),
            Record::Fenced { wu, alloc } => {
                let allocation = self.running(*wu, *alloc)?;
                if allocation.started {
                    return Err(Broken::Ended);
                }
                allocation.fenced = true;
            }
            Record::Answered { wu } => self.open_wu(*wu)?.answered = true,
            Record::Forgotten { wu } => {
                if !self.wus.get(wu).ok_or(Broken::UnknownWu)?.answered {
                    return Err(Broken::Open);
                }
                self.wus.remove(wu);
            }
        }
        Ok(())
    }

    fn open_wu(&mut self, wu: WuId) -> Result<&mut Wu, Broken> {
        let wu = self.wus.get_mut(&wu).ok_or(Broken::UnknownWu)?;
        if wu.answered { Err(Broken::Over) } else { Ok(wu) }
    }

    /// An allocation without an end; its word counts also after the final answer.
    fn running(&mut self, wu: WuId, alloc: AllocId) -> Result<&mut Allocation, Broken> {
        let wu = self.wus.get_mut(&wu).ok_or(Broken::UnknownWu)?;
        let allocation = wu.allocations.get_mut(alloc.0 as usize).ok_or(Broken::UnknownAlloc)?;
        if allocation.ended.is_some() || allocation.fenced { Err(Broken::Ended) } else { Ok(allocation) }
    }
}
