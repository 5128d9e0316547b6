//! Duration of reading and of opening a store by its size. Opening reads and checks every byte and writes
//! the next generation. Run with `cargo bench -p daleturn-store --bench open`. The stores are created under
//! the system's temporary directory.

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use daleturn_store::{Entry, Limits, RealDisk, Store};
use std::path::PathBuf;

fn create_store(dir: &PathBuf, megabytes: usize) -> Limits {
    let limits = Limits { max_entry_bytes: 80 << 20, max_journal_bytes: 4 << 20 };
    let _ = std::fs::remove_dir_all(dir);
    let disk = RealDisk::open(dir).unwrap_or_else(|e| panic!("{}: {e}", dir.display()));
    let (mut store, _) = Store::open(disk, limits).unwrap_or_else(|e| panic!("{e}"));
    let value: Vec<u8> = (0..4000_u32).map(|n| (n * 7) as u8).collect();
    for n in 0..megabytes * 256 {
        let entry = Entry { written_ms: n as u64, value: value.clone() };
        store.put("bench", &format!("{n:08}"), entry).unwrap_or_else(|e| panic!("{e}"));
    }
    store.compact().unwrap_or_else(|e| panic!("{e}"));
    limits
}

fn open(c: &mut Criterion) {
    let mut group = c.benchmark_group("open");
    group.sample_size(10);
    for megabytes in [0, 1, 4, 16, 64] {
        let dir = std::env::temp_dir().join(format!("daleturn-open-{}-{megabytes}", std::process::id()));
        let limits = create_store(&dir, megabytes);
        group.throughput(Throughput::Bytes((megabytes << 20) as u64));
        group.bench_function(BenchmarkId::new("read", format!("{megabytes} MB")), |b| {
            b.iter(|| Store::inspect(&mut RealDisk::open_read_only(&dir), limits).map(|l| l.0.len()));
        });
        group.bench_function(BenchmarkId::new("start", format!("{megabytes} MB")), |b| {
            let open =
                || RealDisk::open(&dir).and_then(|d| Store::open(d, limits).map_err(std::io::Error::other));
            b.iter_batched(|| (), |()| open().map(|(store, _)| store.size()), BatchSize::PerIteration);
        });
        let _ = std::fs::remove_dir_all(&dir);
    }
    group.finish();
}

criterion_group!(benches, open);
criterion_main!(benches);
