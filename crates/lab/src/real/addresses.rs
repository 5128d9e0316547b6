//! Addresses for processes that are started later.

use super::links::lock;
use std::collections::HashSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Mutex;

/// Maximum number of ports requested until one comes up that was not handed out before. The system assigns
/// from about 28,000 ports per address.
const MAX_DRAWS: usize = 1000;

/// Returns a free address on `ip` that this process has not handed out before. The system considers the
/// port free until the process that it is meant for has bound it, and may assign it again. If another
/// program takes the port first, that process fails to start with an error.
///
/// # Errors
/// Returns an error if the system has no free port on `ip`, or assigns only ports that were handed out
/// already.
pub fn free_address(ip: Ipv4Addr) -> io::Result<SocketAddr> {
    static HANDED_OUT: Mutex<Option<HashSet<SocketAddr>>> = Mutex::new(None);
    for _ in 0..MAX_DRAWS {
        let address = TcpListener::bind((ip, 0))?.local_addr()?;
        if lock(&HANDED_OUT).get_or_insert_default().insert(address) {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
