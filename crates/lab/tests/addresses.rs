//! Scenarios that run at the same time in one process must not share addresses.

use daleturn_lab::real::addresses::free_address;
use std::collections::HashSet;
use std::net::Ipv4Addr;

#[test]
fn no_address_is_handed_out_twice() {
    const COUNT: usize = 2000;
    let drawn: HashSet<_> =
        (0..COUNT).map(|_| free_address(Ipv4Addr::LOCALHOST).expect("a free port")).collect();
    assert_eq!(drawn.len(), COUNT);
}
