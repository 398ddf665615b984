//! Ring buffers preserve the order of bytes, and their limits.
use super::*;

#[test]
fn bytes_stay_in_order_and_buffers_within_their_limits() {
    for max_bytes in [1, 7, 2048, 5000] {
        let budget = ByteBudget::new(16 * 1024);
        let mut ring = RingBuffer::new(max_bytes, &budget);
        let (mut put, mut got) = (0u32, 0u32);
        for step in 0..5000usize {
            let wanted: Vec<u8> = (0..(step * 7919) % 97).map(|k| (put + k as u32) as u8).collect();
            put += ring.push(&wanted) as u32;
            assert!(ring.len() <= max_bytes && ring.storage.len() <= max_bytes);
            let n = ((step * 104_729) % 89).min(ring.len());
            let expected: Vec<u8> = (0..n).map(|k| (got + k as u32) as u8).collect();
            if step % 2 == 0 {
                assert_eq!(ring.bytes()[..n], expected);
                ring.consume(n);
            } else {
                let mut seen = Vec::new();
                let write = |parts: &[IoSlice]| {
                    parts.iter().for_each(|part| seen.extend_from_slice(part));
                    Ok(n.min(seen.len()))
                };
                ring.write_to(write).unwrap();
                assert_eq!(seen[..n], expected);
            }
            got += n as u32;
        }
        assert_eq!(put - got, ring.len() as u32);
        ring.consume(ring.len());
        ring.release();
        assert_eq!(ring.storage.capacity(), 0);
    }
    // The growth of both buffers together is bounded.
    let budget = ByteBudget::new(INITIAL_BYTES);
    let [mut one, mut two] = [0, 1].map(|_| RingBuffer::new(16 * 1024, &budget));
    let bytes = [7; 3 * INITIAL_BYTES];
    assert_eq!((one.push(&bytes), two.push(&bytes)), (2 * INITIAL_BYTES, INITIAL_BYTES));
    assert!(one.is_full() && two.is_full());
    drop(one);
    assert_eq!((two.push(&bytes), two.is_full()), (INITIAL_BYTES, true));
}
