//! Feeds a store's reader with any bytes as its snapshot and journal: `cargo +nightly fuzz run reader`, from `fuzz/..`.
//! What it finds goes into `fuzz/corpus/reader`, which the store's tests replay.
#![no_main]

use libfuzzer_sys::fuzz_target;

fuzz_target!(|bytes: &[u8]| daleturn_store::store::exercise(bytes));
