//! Addresses for processes that are started later.

use super::links::lock;
use std::collections::HashSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

/// Draws until a new address comes up. The system hands out some 28,000 ports of an address.
const DRAWS: usize = 1000;

/// A free address of that ip, which this process hands out only once: until the process that it is meant for has bound it, the
/// system takes it for free and may hand it out again. Another program could still take the port; then the one that it was meant
/// for cannot start, and says so.
///
/// # Errors
/// The system has no free port of that ip.
pub fn free_address(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    static HANDED_OUT: Mutex<Option<HashSet<SocketAddr>>> = Mutex::new(None);
    for _ in 0..DRAWS {
        let address = TcpListener::bind((ip, 0))?.local_addr()?;
        if lock(&HANDED_OUT).get_or_insert_default().insert(address) {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
