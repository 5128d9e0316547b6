//! Fault injection by a preloaded library (`LD_PRELOAD`): steps the wall clock of a process while it runs;
//! its monotonic clock is not affected.
//!
//! [`OFFSET_FILE`] names a file whose first eight bytes are the offset of the wall clock in nanoseconds, as
//! a little-endian `i64`. The file is mapped when the process starts, so writing it ([`set_offset`]) steps
//! the clock at once. Without the variable, or if the file cannot be mapped, the process has the system's
//! clock.

use libc::{c_int, c_void, clockid_t, timespec};
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::Path;
use std::sync::atomic::{AtomicI64, AtomicPtr, Ordering};
use std::time::Duration;

/// Environment variable that names the file.
pub const OFFSET_FILE: &str = "DALETURN_FAULTS_CLOCK";
/// The same name as a C string.
const OFFSET_FILE_C: &std::ffi::CStr = c"DALETURN_FAULTS_CLOCK";
const NANOS_PER_S: i64 = 1_000_000_000;

/// Mapped file; null if there is none.
static OFFSET_NS: AtomicPtr<AtomicI64> = AtomicPtr::new(std::ptr::null_mut());

/// Sets the offset of the wall clock for all processes that have this file mapped. With `behind`, the clock
/// is behind by `offset`, otherwise ahead.
///
/// # Errors
/// Returns an error if the file cannot be written or the offset is too large.
pub fn set_offset(file: &Path, offset: Duration, behind: bool) -> io::Result<()> {
    let nanos = i64::try_from(offset.as_nanos()).map_err(io::Error::other)?;
    let nanos = if behind { -nanos } else { nanos };
    // The file is overwritten in place; a new file would not be the mapped one.
    let mut file = OpenOptions::new().write(true).create(true).truncate(false).open(file)?;
    file.write_all(&nanos.to_le_bytes())
}

/// Maps the file when the library is loaded, before `main`.
#[used]
#[unsafe(link_section = ".init_array")]
static MAP_OFFSET: extern "C" fn() = map_offset;

extern "C" fn map_offset() {
    // SAFETY: the arguments are valid C strings and a null address, results are checked before they are
    // used, and the mapping is never unmapped. Rust's standard library is not called this early.
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
            OFFSET_NS.store(mapped.cast::<AtomicI64>(), Ordering::SeqCst);
        }
    }
}

/// Replaces the C library's function.
///
/// # Safety
/// Like the C library's: `time` must point to a writable `timespec`.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the system call has the same requirement for `time` as this function.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, time.cast::<c_void>()) };
    let offset = OFFSET_NS.load(Ordering::Relaxed);
    let wall = clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE;
    if result == 0 && wall && !offset.is_null() {
        // SAFETY: the mapping lives as long as the process and holds eight aligned bytes, and the system
        // call has written `time`.
        unsafe {
            let offset = i64::from_le((*offset).load(Ordering::Relaxed));
            let nanos = (*time).tv_nsec + offset.rem_euclid(NANOS_PER_S);
            (*time).tv_sec += offset.div_euclid(NANOS_PER_S) + nanos.div_euclid(NANOS_PER_S);
            (*time).tv_nsec = nanos.rem_euclid(NANOS_PER_S);
        }
    }
    result as c_int
}
