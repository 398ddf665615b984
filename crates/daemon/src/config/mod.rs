//! What a node is configured with: the platform's node file, the operator's own file, and the limits that follow.
pub mod limits;
pub mod node;
pub mod operator;
