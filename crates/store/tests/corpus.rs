//! Replays the fuzzer's corpus and typical damaged files against the reader.

use daleturn_store::store::exercise;
use std::path::Path;

#[test]
fn reader_accepts_every_file_of_the_corpus() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fuzz/corpus/reader");
    let mut count = 0;
    for entry in std::fs::read_dir(&dir).unwrap_or_else(|e| panic!("{}: {e}", dir.display())) {
        let path = entry.expect("readable").path();
        exercise(&std::fs::read(&path).expect("readable"));
        count += 1;
    }
    assert!(count >= 8, "{count}");
}

/// A small replacement for the fuzzer: changes random bytes of a valid file, with a fixed seed.
#[test]
fn reader_accepts_damaged_copies_of_a_valid_file() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fuzz/corpus/reader");
    let valid = std::fs::read(dir.join("whole")).expect("readable");
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..20_000 {
        let mut bytes = valid.clone();
        for _ in 0..rng.usize(1..4) {
            match rng.u8(0..4) {
                0 => bytes.truncate(rng.usize(0..=bytes.len())),
                1 => bytes.extend((0..rng.usize(0..40)).map(|_| rng.u8(..))),
                _ if bytes.is_empty() => {}
                2 => {
                    let at = rng.usize(0..bytes.len());
                    bytes[at] = rng.u8(..);
                }
                _ => {
                    let at = rng.usize(0..bytes.len());
                    bytes[at..].rotate_left(1);
                }
            }
        }
        exercise(&bytes);
    }
}
