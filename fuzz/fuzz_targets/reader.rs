//! Feeds arbitrary bytes to the store's reader as its snapshot and journal. Run it with `cargo +nightly
//! fuzz run reader` in the repository's root directory. Inputs that it finds go into `fuzz/corpus/reader`,
//! which the store's tests replay.
#![no_main]

use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| daleturn_store::store::exercise(bytes));
