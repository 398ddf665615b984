//! Bytes keep their order, and rings their size.
use super::*;

#[test]
fn keeps_order_across_the_seam_and_never_grows_past_its_most() {
    for most in [1, 7, 2048, 5000] {
        let held = ByteBudget::new(16 * 1024);
        let mut ring = RingBuffer::new(most, &held);
        let (mut put, mut got) = (0u32, 0u32);
        for step in 0..5000usize {
            let wanted: Vec<u8> = (0..(step * 7919) % 97).map(|k| (put + k as u32) as u8).collect();
            put += ring.push(&wanted) as u32;
            assert!(ring.len() <= most && ring.storage.len() <= most);
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
    // Guards against many that grow at once: what two rings hold beyond their first size is bounded.
    let held = ByteBudget::new(INITIAL_BYTES);
    let [mut one, mut two] = [0, 1].map(|_| RingBuffer::new(16 * 1024, &held));
    let much = [7; 3 * INITIAL_BYTES];
    assert_eq!((one.push(&much), two.push(&much)), (2 * INITIAL_BYTES, INITIAL_BYTES));
    assert!(one.is_full() && two.is_full());
    drop(one);
    assert_eq!((two.push(&much), two.is_full()), (INITIAL_BYTES, true));
}
