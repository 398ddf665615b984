//! The stages of a node's life, which follow from a few facts, and are watched by the client side.
use std::cell::Cell;
use tokio::sync::watch;

/// What the client side goes by.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Stage {
    Starting,
    Serving,
    /// Drained by hand a moment ago: work is still taken, and each connection ends with its answer.
    Draining,
    /// Drained by hand: idle connections close, and work that still comes is deferred.
    Drained,
    /// Asked to end: all goes on, but no front should take it in.
    Leaving,
    /// Another process has the clients' socket and takes them: nothing more is accepted, and each connection
    /// ends with its answer. It is asked to end, or may serve again if that other process dies.
    Passing,
    /// Idle connections close, and each other one after its answer.
    Closing,
}

impl Stage {
    /// Whether a connection ends with its answer.
    pub fn ends_connections(self) -> bool {
        matches!(self, Stage::Draining | Stage::Drained | Stage::Passing | Stage::Closing)
    }

    /// Whether idle connections close.
    pub fn closes_idle(self) -> bool {
        matches!(self, Stage::Drained | Stage::Closing)
    }
}

/// How far a drain by hand is.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub enum Drain {
    #[default]
    None,
    Begun,
    /// What was under way when it began has had its time to come.
    Settled,
}

/// How far the node is on its way out.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub enum Way {
    #[default]
    None,
    Out,
    /// As `Out`, where another process takes the clients' connections from now on.
    Passed,
    Closing,
}

/// The facts.
#[derive(Clone, Copy, Default, Debug)]
pub struct Life {
    /// There is a list to serve by.
    pub listed: bool,
    pub drain: Drain,
    /// Counts drains by hand and their ends.
    pub drains: u64,
    /// The drain was taken over from the process before this one.
    pub inherited: bool,
    /// Another process takes clients, as long as it runs.
    pub yielded: bool,
    pub way: Way,
}

impl Life {
    pub fn stage(&self) -> Stage {
        match (self.way, self.drain, self.listed) {
            (Way::Closing, ..) | (Way::Out | Way::Passed, Drain::Settled, _) => Stage::Closing,
            (Way::Passed, ..) => Stage::Passing,
            (Way::Out, Drain::Begun, _) | (Way::None, Drain::Begun, true) => Stage::Draining,
            (Way::Out, ..) => Stage::Leaving,
            (Way::None, _, false) => Stage::Starting,
            (Way::None, Drain::None, true) if self.yielded => Stage::Passing,
            (Way::None, Drain::Settled, true) => Stage::Drained,
            (Way::None, Drain::None, true) => Stage::Serving,
        }
    }

    /// Whether this process takes clients. One that took a drain over does what an upgrade waits for.
    pub fn is_ready(&self) -> bool {
        self.listed && self.way == Way::None && (self.drain == Drain::None || self.inherited)
    }
}

/// The facts of one node, and those who wait for a stage.
pub struct Stages {
    life: Cell<Life>,
    told: watch::Sender<Stage>,
}

impl Stages {
    pub fn new() -> Self {
        Stages { life: Cell::default(), told: watch::Sender::new(Stage::Starting) }
    }

    pub fn life(&self) -> Life {
        self.life.get()
    }

    pub fn change(&self, how: impl FnOnce(&mut Life)) {
        let mut life = self.life.get();
        how(&mut life);
        self.life.set(life);
        self.told.send_if_modified(|told| std::mem::replace(told, life.stage()) != life.stage());
    }

    pub fn watch(&self) -> watch::Receiver<Stage> {
        self.told.subscribe()
    }
}

#[test]
fn stages_follow_from_the_list_a_drain_and_the_way_out() {
    use Stage::*;
    for (listed, drain, way, stage, ready) in [
        (false, Drain::None, Way::None, Starting, false),
        (false, Drain::Settled, Way::None, Starting, false),
        (true, Drain::None, Way::None, Serving, true),
        (true, Drain::Begun, Way::None, Draining, false),
        (true, Drain::Settled, Way::None, Drained, false),
        (true, Drain::None, Way::Out, Leaving, false),
        (true, Drain::Begun, Way::Out, Draining, false),
        (true, Drain::Settled, Way::Out, Closing, false),
        (true, Drain::None, Way::Passed, Passing, false),
        (true, Drain::Begun, Way::Passed, Passing, false),
        (true, Drain::Settled, Way::Passed, Closing, false),
        (false, Drain::None, Way::Closing, Closing, false),
    ] {
        let life = Life { listed, drain, way, ..Life::default() };
        assert_eq!((life.stage(), life.is_ready()), (stage, ready), "{life:?}");
    }
    let inherited = Life { listed: true, drain: Drain::Settled, inherited: true, ..Life::default() };
    assert!(inherited.is_ready() && inherited.stage() == Drained);
    let yielded = Life { listed: true, yielded: true, ..Life::default() };
    assert!(yielded.is_ready() && yielded.stage() == Passing);
    assert_eq!(Life { drain: Drain::Begun, ..yielded }.stage(), Draining);
}
