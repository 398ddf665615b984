//! What nodes tell one another, as bytes: a version, a kind, and what the kind holds. Whoever reads passes over
//! what it does not know, so that releases may differ among the nodes.
use troutknot::Telling;

/// The longest message that may be sent or is read.
pub const MOST_TOLD: usize = 256;
const VERSION: u8 = 1;
const DROPPED: u8 = 1;

/// A message as bytes.
///
/// ```
/// use troutknot::Telling::Dropped;
/// use troutknot_hosting::{telling, told};
/// assert_eq!(told(&telling(Dropped)), Some(Dropped));
/// ```
pub fn telling(telling: Telling) -> Vec<u8> {
    let Telling::Dropped = telling;
    vec![VERSION, DROPPED]
}

/// What a message says; none where it is cut, too long or of another form.
pub fn told(bytes: &[u8]) -> Option<Telling> {
    (bytes == [VERSION, DROPPED]).then_some(Telling::Dropped)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn odd_messages_say_nothing() {
        for (what, bytes) in [
            ("empty", vec![]),
            ("cut", vec![VERSION]),
            ("longer", vec![VERSION, DROPPED, 0]),
            ("too long", vec![VERSION; MOST_TOLD + 1]),
            ("of another version", vec![VERSION + 1, DROPPED]),
            ("of another kind", vec![VERSION, DROPPED + 8]),
        ] {
            assert_eq!(told(&bytes), None, "{what}");
        }
    }
}
