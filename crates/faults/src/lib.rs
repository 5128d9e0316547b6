//! Fault injection by a preloaded library (`LD_PRELOAD`): the wall clock of a process is stepped while it runs, and its
//! monotonic clock runs on.
//!
//! [`OFFSET_FILE`] names a file whose first eight bytes are the offset of the wall clock in nanoseconds, a little-endian `i64`.
//! The file is mapped when the process starts, so that whoever writes it ([`set_offset`]) steps the clock at once. Without the
//! variable, or with a file that cannot be mapped, the clock is the system's.

use libc::{c_int, c_void, clockid_t, timespec};
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicI64, AtomicPtr, Ordering};
use std::time::Duration;

/// The environment variable that names the file.
pub const OFFSET_FILE: &str = "DALETURN_FAULTS_CLOCK";
/// The same for the C library.
const OFFSET_FILE_C: &std::ffi::CStr = c"DALETURN_FAULTS_CLOCK";
const NANOS: i64 = 1_000_000_000;

/// The mapped file; null where there is none.
static OFFSET: AtomicPtr<AtomicI64> = AtomicPtr::new(std::ptr::null_mut());

/// Writes the offset of the wall clock for all processes that have this file mapped. `behind`: the clock shows that much less.
///
/// # Errors
/// The file cannot be written.
pub fn set_offset(file: &Path, offset: Duration, behind: bool) -> io::Result<()> {
    let nanos = i64::try_from(offset.as_nanos()).map_err(io::Error::other)?;
    let nanos = if behind { -nanos } else { nanos };
    // In place: a file that is made anew would not be the mapped one.
    let mut file = OpenOptions::new().write(true).create(true).truncate(false).open(file)?;
    file.write_all(&nanos.to_le_bytes())
}

/// Runs when the library is loaded, before `main`.
#[used]
#[unsafe(link_section = ".init_array")]
static MAP_OFFSET: extern "C" fn() = map_offset;

extern "C" fn map_offset() {
    // SAFETY: the arguments are valid C strings and a null address, results are checked before they are used, and the mapping is
    // never unmapped. Nothing of Rust's standard library is called this early.
    unsafe {
        let path = libc::getenv(OFFSET_FILE_C.as_ptr());
        if path.is_null() {
            return;
        }
        let file = libc::open(path, libc::O_RDONLY | libc::O_CLOEXEC);
        if file < 0 {
            return;
        }
        let length = size_of::<AtomicI64>();
        let mapped = libc::mmap(std::ptr::null_mut(), length, libc::PROT_READ, libc::MAP_SHARED, file, 0);
        libc::close(file);
        if mapped != libc::MAP_FAILED {
            OFFSET.store(mapped.cast::<AtomicI64>(), Ordering::SeqCst);
        }
    }
}

/// Stands in for the C library's function.
///
/// # Safety
/// As the C library's: `time` points to a `timespec` that may be written.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller's promise on `time` is the system call's.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time.cast::<c_void>()) };
    let offset = OFFSET.load(Ordering::Relaxed);
    let wall = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && wall && !offset.is_null() {
        // SAFETY: the mapping lives as long as the process and holds eight aligned bytes, and the system call has written `time`.
        unsafe {
            let offset = i64::from_le((*offset).load(Ordering::Relaxed));
            let nanos = (*time).tv_nsec + offset.rem_euclid(NANOS);
            (*time).tv_sec += offset.div_euclid(NANOS) + nanos.div_euclid(NANOS);
            (*time).tv_nsec = nanos.rem_euclid(NANOS);
        }
    }
    result as c_int
}
