//! The stages of a node's life, set by its start, its driver and its end, and watched by the client side.

/// How far the node is on its way out.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Stage {
    Starting,
    Serving,
    /// Asked to end: all goes on, but no front should take it in.
    Leaving,
    /// Idle connections close, and each other one after its answer.
    Closing,
}
