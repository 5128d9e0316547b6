//! What the fuzzer found worth keeping, and what anybody would try first, replayed against the reader.

use daleturn_store::store::exercise;
use std::path::Path;

#[test]
fn the_reader_takes_every_file_of_the_corpus() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fuzz/corpus/reader");
    let mut count = 0;
    for entry in std::fs::read_dir(&dir).unwrap_or_else(|e| panic!("{}: {e}", dir.display())) {
        let path = entry.expect("there").path();
        exercise(&std::fs::read(&path).expect("there"));
        count += 1;
    }
    assert!(count >= 8, "{count}");
}

/// Any bytes, many times: a small stand-in for the fuzzer, with fixed seeds, on whole files that are then spoilt.
#[test]
fn the_reader_takes_whole_files_with_any_byte_changed() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../fuzz/corpus/reader");
    let whole = std::fs::read(dir.join("whole")).expect("there");
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..20_000 {
        let mut bytes = whole.clone();
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
