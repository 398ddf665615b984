//! Order of the bytes in ring buffers, and the buffers' limits.
use super::*;

#[test]
fn bytes_stay_in_order_and_buffers_within_their_limits() {
    for max_bytes in [1, 7, 2048, 5000] {
        let budget = ByteBudget::new(16 * 1024);
        let mut ring = RingBuffer::new(max_bytes, &budget);
        let (mut pushed, mut consumed) = (0u32, 0u32);
        for step in 0..5000usize {
            let input: Vec<u8> =
                (0..(step * 7919) % 97).map(|offset| (pushed + offset as u32) as u8).collect();
            pushed += ring.push(&input) as u32;
            assert!(ring.len() <= max_bytes && ring.storage.len() <= max_bytes);
            let length = ((step * 104_729) % 89).min(ring.len());
            let expected: Vec<u8> = (0..length).map(|offset| (consumed + offset as u32) as u8).collect();
            if step % 2 == 0 {
                assert_eq!(ring.bytes()[..length], expected);
                ring.consume(length);
            } else {
                let mut written = Vec::new();
                let write = |parts: &[IoSlice]| {
                    parts.iter().for_each(|part| written.extend_from_slice(part));
                    Ok(length.min(written.len()))
                };
                ring.write_to(write).unwrap();
                assert_eq!(written[..length], expected);
            }
            consumed += length as u32;
        }
        assert_eq!(pushed - consumed, ring.len() as u32);
        ring.consume(ring.len());
        ring.release();
        assert_eq!(ring.storage.capacity(), 0);
    }
    // The growth of both buffers together is bounded.
    let budget = ByteBudget::new(INITIAL_BYTES);
    let [mut first, mut second] = [0, 1].map(|_| RingBuffer::new(16 * 1024, &budget));
    let bytes = [7; 3 * INITIAL_BYTES];
    assert_eq!((first.push(&bytes), second.push(&bytes)), (2 * INITIAL_BYTES, INITIAL_BYTES));
    assert!(first.is_full() && second.is_full());
    drop(first);
    assert_eq!((second.push(&bytes), second.is_full()), (INITIAL_BYTES, true));
}
