//! Gossip datagrams between nodes: at most 256 bytes, with a checksum, the sender's membership state and a
//! sequence number. A datagram that is truncated, corrupt, of another version or out of range is rejected as
//! a whole.

use super::membership::{MemberState, Message, Ms, NodeId, Status};
use super::shared_state::{KeyLocation, MAX_TENANTS, OperatorOrder, TenantTotals, Verdict};
use bytes::{Buf, BufMut};
use thiserror::Error;

/// Maximum length of a datagram that the deployment's rules allow.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// First byte. Messages about backends (`src/peer_message.rs`) begin with a small number instead.
const MAGIC: u8 = 0xd1;
/// Version of the format.
const VERSION: u8 = 1;
/// Length of the header: magic, version, kind, status, sender, incarnation, heartbeat, sequence number,
/// checksum.
const HEADER_BYTES: usize = 4 + 2 + 4 + 4 + 4 + 4;
/// Maximum length of the subject of an operator's order: a server's uid, or `zone:` and a zone's name.
pub const MAX_NAME_BYTES: usize = 64;
/// Ages are sent as 16-bit numbers; older ones are sent as this.
const MAX_AGE_MS: Ms = 65_535;

/// Reason for which a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// The datagram does not begin like a gossip datagram.
    #[error("not a gossip datagram")]
    Unknown,
    /// The datagram has a version that this build does not support.
    #[error("unsupported version {0}")]
    Version(u8),
    /// The datagram is truncated, has a wrong checksum, or contains an invalid value.
    #[error("truncated or corrupt")]
    Corrupt,
}

/// Header of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The sender's number.
    pub from: NodeId,
    /// The sender's state, as it reports it itself.
    pub state: MemberState,
    /// Sequence number of the datagram since the sender's start.
    pub number: u32,
}

/// An update that a datagram carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// State of a member.
    Member(NodeId, MemberState),
    /// A node's verdict on a server, by the server's short ID, and the verdict's age.
    Verdict(u32, NodeId, Verdict, Ms),
    /// Location of a key, by the key's short hash, and its age.
    KeyLocation(u32, KeyLocation, Ms),
    /// An operator's order on a server or zone, and its age.
    OperatorOrder(String, OperatorOrder, Ms),
}

/// Body of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Totals of the sender and the nodes below it, for its parent.
    TotalsUp {
        /// Number of the wave that the totals are for.
        wave: u32,
        /// The totals.
        totals: TenantTotals,
        /// Digests of the members' presence and of the operators' orders.
        digests: [u32; 2],
    },
    /// Totals of all nodes, sent down from the root.
    TotalsDown {
        /// The root's number and incarnation.
        root: (NodeId, u32),
        /// Number of the wave, counted by the root.
        wave: u32,
        /// The sender's distance from the root.
        depth: u8,
        /// The totals.
        totals: TenantTotals,
        /// Digests of the members' presence and of the operators' orders.
        digests: [u32; 2],
    },
    /// Updates to be acknowledged, with the number of this batch.
    Updates(u16),
    /// Acknowledges a batch of updates.
    Ack(u16),
    /// Asks the receiver to send totals again: those for its parent if `up` is set, otherwise those of a wave
    /// after `wave`.
    Resend {
        /// True for a child's totals, false for the root's.
        up: bool,
        /// Latest wave that the sender knows.
        wave: u32,
    },
    /// A membership message.
    MembershipCheck(Message),
    /// Presence codes of the members from `first` on, two bits each, for comparison with the receiver's.
    Comparison {
        /// First member.
        first: NodeId,
        /// Presence codes: 0 present, 1 dead, 2 left.
        presence_codes: Vec<u8>,
        /// Digest of the operators' orders.
        orders_digest: u32,
    },
}

impl Body {
    fn kind(&self) -> u8 {
        match self {
            Body::TotalsUp { .. } => 1,
            Body::TotalsDown { .. } => 2,
            Body::Updates(_) => 3,
            Body::Ack(_) => 4,
            Body::Resend { .. } => 5,
            Body::MembershipCheck(_) => 6,
            Body::Comparison { .. } => 7,
        }
    }
}

/// Maximum number of members in one comparison.
pub const MAX_COMPARED_MEMBERS: usize = 800;

fn put_state(out: &mut Vec<u8>, state: &MemberState) {
    out.put_u32(state.incarnation);
    out.put_u32(state.heartbeat);
    out.put_u8(state.status as u8);
}

fn put_totals(out: &mut Vec<u8>, totals: &TenantTotals, digests: [u32; 2]) {
    out.put_u16(totals.counted);
    out.put_u16(totals.age.min(MAX_AGE_MS) as u16);
    digests.iter().for_each(|d| out.put_u32(*d));
    out.put_u8(totals.tenants.len().min(MAX_TENANTS) as u8);
    for (tenant, rate) in totals.tenants.iter().take(MAX_TENANTS) {
        out.put_u32(*tenant);
        out.put_f32(*rate);
    }
}

impl Update {
    fn encode(&self, out: &mut Vec<u8>) {
        match self {
            Update::Member(node, state) => {
                out.put_u8(1);
                out.put_u16(*node);
                put_state(out, state);
            }
            Update::Verdict(server, node, verdict, age) => {
                out.put_u8(if verdict.failing { 2 } else { 3 });
                out.put_u32(*server);
                out.put_u16(*node);
                out.put_u32(verdict.incarnation);
                out.put_u16(verdict.number);
                out.put_u32(verdict.start);
                out.put_u16((*age).min(MAX_AGE_MS) as u16);
            }
            Update::KeyLocation(key, location, age) => {
                out.put_u8(4);
                out.put_u32(*key);
                out.put_u32(location.number);
                out.put_u16(location.node);
                out.put_u32(location.server);
                out.put_u16((*age).min(MAX_AGE_MS) as u16);
            }
            Update::OperatorOrder(subject, order, age) => {
                out.put_u8(if order.cordoned { 5 } else { 6 });
                out.put_u32(order.number);
                out.put_u16(order.node);
                out.put_u32(order.for_s);
                out.put_u32(u32::try_from(*age / 1000).unwrap_or(u32::MAX));
                out.put_u8(subject.len() as u8);
                out.put_slice(subject.as_bytes());
            }
        }
    }
}

/// Encodes a datagram with as many of the updates, in their order, as fit. Returns the bytes and the number
/// of updates written.
pub fn encode(header: &Header, body: &Body, updates: &[Update]) -> (Vec<u8>, usize) {
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    out.put_slice(&[MAGIC, VERSION, body.kind(), header.state.status as u8]);
    out.put_u16(header.from);
    out.put_u32(header.state.incarnation);
    out.put_u32(header.state.heartbeat);
    out.put_u32(header.number);
    out.put_u32(0);
    match body {
        Body::TotalsUp { wave, totals, digests } => {
            out.put_u32(*wave);
            put_totals(&mut out, totals, *digests);
        }
        Body::TotalsDown { root, wave, depth, totals, digests } => {
            out.put_u16(root.0);
            out.put_u32(root.1);
            out.put_u32(*wave);
            out.put_u8(*depth);
            put_totals(&mut out, totals, *digests);
        }
        Body::Updates(id) | Body::Ack(id) => out.put_u16(*id),
        Body::Resend { up, wave } => {
            out.put_u8(u8::from(*up));
            out.put_u32(*wave);
        }
        Body::MembershipCheck(Message::Ping(requester)) => {
            out.put_u8(1);
            out.put_u16(*requester);
        }
        Body::MembershipCheck(Message::PingRequest(target)) => {
            out.put_u8(2);
            out.put_u16(*target);
        }
        Body::MembershipCheck(Message::Ack { subject, state, requester }) => {
            out.put_u8(3);
            out.put_u16(*subject);
            out.put_u16(*requester);
            put_state(&mut out, state);
        }
        Body::Comparison { first, presence_codes, orders_digest } => {
            let presence_codes =
                presence_codes.get(..presence_codes.len().min(MAX_COMPARED_MEMBERS)).unwrap_or_default();
            out.put_u16(*first);
            out.put_u16(presence_codes.len() as u16);
            out.put_u32(*orders_digest);
            for codes in presence_codes.chunks(4) {
                out.put_u8(codes.iter().rev().fold(0, |byte, code| byte << 2 | (code & 3)));
            }
        }
    }
    let mut written = 0;
    for update in updates {
        let before = out.len();
        update.encode(&mut out);
        if out.len() > MAX_DATAGRAM_BYTES {
            out.truncate(before);
            break;
        }
        written += 1;
    }
    let sum = checksum(&out);
    if let Some(field) = out.get_mut(HEADER_BYTES - 4..HEADER_BYTES) {
        field.copy_from_slice(&sum.to_be_bytes());
    }
    (out, written)
}

/// Returns the checksum of all bytes but the checksum's own four.
fn checksum(bytes: &[u8]) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    hash.update(bytes.get(..HEADER_BYTES - 4).unwrap_or_default());
    hash.update(bytes.get(HEADER_BYTES..).unwrap_or_default());
    hash.finalize()
}

/// Reads the fields of a datagram. Every method returns none if too few bytes are left or a value is invalid.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn u8(&mut self) -> Option<u8> {
        self.0.try_get_u8().ok()
    }

    fn u16(&mut self) -> Option<u16> {
        self.0.try_get_u16().ok()
    }

    fn u32(&mut self) -> Option<u32> {
        self.0.try_get_u32().ok()
    }

    fn status(&mut self) -> Option<Status> {
        Status::ALL.get(usize::from(self.u8()?)).copied()
    }

    fn state(&mut self) -> Option<MemberState> {
        Some(MemberState { incarnation: self.u32()?, heartbeat: self.u32()?, status: self.status()? })
    }

    fn totals(&mut self) -> Option<(TenantTotals, [u32; 2])> {
        let (counted, age) = (self.u16()?, Ms::from(self.u16()?));
        let digests = [self.u32()?, self.u32()?];
        let mut tenants = Vec::new();
        for _ in 0..self.u8()? {
            let (tenant, rate) = (self.u32()?, self.0.try_get_f32().ok()?);
            let is_ascending = tenants.last().is_none_or(|(last, _)| *last < tenant);
            if !rate.is_finite() || rate < 0.0 || !is_ascending || tenants.len() >= MAX_TENANTS {
                return None;
            }
            tenants.push((tenant, rate));
        }
        Some((TenantTotals { tenants, counted, age }, digests))
    }

    fn update(&mut self) -> Option<Update> {
        Some(match self.u8()? {
            1 => Update::Member(self.u16()?, self.state()?),
            kind @ (2 | 3) => {
                let (server, node) = (self.u32()?, self.u16()?);
                let verdict = Verdict {
                    incarnation: self.u32()?,
                    number: self.u16()?,
                    start: self.u32()?,
                    failing: kind == 2,
                };
                Update::Verdict(server, node, verdict, Ms::from(self.u16()?))
            }
            4 => {
                let key = self.u32()?;
                let location = KeyLocation { number: self.u32()?, node: self.u16()?, server: self.u32()? };
                Update::KeyLocation(key, location, Ms::from(self.u16()?))
            }
            kind @ (5 | 6) => {
                let order = OperatorOrder {
                    number: self.u32()?,
                    node: self.u16()?,
                    cordoned: kind == 5,
                    for_s: self.u32()?,
                };
                let (age, length) = (Ms::from(self.u32()?) * 1000, usize::from(self.u8()?));
                let subject = self.0.get(..length).filter(|_| (1..=MAX_NAME_BYTES).contains(&length))?;
                let subject = std::str::from_utf8(subject).ok()?.to_owned();
                self.0.advance(length);
                Update::OperatorOrder(subject, order, age)
            }
            _ => return None,
        })
    }

    fn body(&mut self, kind: u8) -> Option<Body> {
        Some(match kind {
            1 => {
                let wave = self.u32()?;
                let (totals, digests) = self.totals()?;
                Body::TotalsUp { wave, totals, digests }
            }
            2 => {
                let (root, wave, depth) = ((self.u16()?, self.u32()?), self.u32()?, self.u8()?);
                let (totals, digests) = self.totals()?;
                Body::TotalsDown { root, wave, depth, totals, digests }
            }
            3 => Body::Updates(self.u16()?),
            4 => Body::Ack(self.u16()?),
            5 => Body::Resend { up: self.u8()? == 1, wave: self.u32()? },
            6 => Body::MembershipCheck(match self.u8()? {
                1 => Message::Ping(self.u16()?),
                2 => Message::PingRequest(self.u16()?),
                3 => {
                    let (subject, requester) = (self.u16()?, self.u16()?);
                    Message::Ack { subject, state: self.state()?, requester }
                }
                _ => return None,
            }),
            7 => {
                let (first, count, orders_digest) = (self.u16()?, usize::from(self.u16()?), self.u32()?);
                let mut presence_codes = Vec::new();
                while presence_codes.len() < count.min(MAX_COMPARED_MEMBERS) {
                    let byte = self.u8()?;
                    presence_codes.extend([0, 2, 4, 6].map(|shift| byte >> shift & 3));
                }
                presence_codes.truncate(count);
                Body::Comparison { first, presence_codes, orders_digest }
            }
            _ => return None,
        })
    }
}

/// Decodes a datagram.
///
/// # Errors
///
/// [`DatagramError::Unknown`] if the first byte is not that of a gossip datagram, [`DatagramError::Version`]
/// if the version is not supported, [`DatagramError::Corrupt`] if the datagram is too long, truncated, has a
/// wrong checksum or contains an invalid value.
pub fn decode(bytes: &[u8]) -> Result<(Header, Body, Vec<Update>), DatagramError> {
    let &[MAGIC, version, kind, ..] = bytes else { return Err(DatagramError::Unknown) };
    if version != VERSION {
        return Err(DatagramError::Version(version));
    }
    let sum =
        bytes.get(HEADER_BYTES - 4..HEADER_BYTES).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
    if bytes.len() > MAX_DATAGRAM_BYTES || sum != Some(checksum(bytes)) {
        return Err(DatagramError::Corrupt);
    }
    let mut reader = Reader(bytes.get(3..).unwrap_or_default());
    let read_fields = |reader: &mut Reader| {
        let status = reader.status()?;
        let from = reader.u16()?;
        let state = MemberState { incarnation: reader.u32()?, heartbeat: reader.u32()?, status };
        let header = Header { from, state, number: reader.u32()? };
        reader.u32()?;
        let body = reader.body(kind)?;
        let mut updates = Vec::new();
        while !reader.0.is_empty() {
            updates.push(reader.update()?);
        }
        Some((header, body, updates))
    };
    read_fields(&mut reader).ok_or(DatagramError::Corrupt)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn header() -> Header {
        Header {
            from: 7,
            state: MemberState { incarnation: 3, heartbeat: 900, status: Status::Alive },
            number: 12,
        }
    }

    fn totals() -> TenantTotals {
        TenantTotals { tenants: (0..12).map(|n| (n * 5, n as f32 * 1.5)).collect(), counted: 300, age: 777 }
    }

    fn bodies() -> Vec<Body> {
        let state = header().state;
        let mut all = vec![
            Body::TotalsUp { wave: 9, totals: totals(), digests: [1, 2] },
            Body::TotalsDown { root: (0, 5), wave: 9, depth: 2, totals: totals(), digests: [1, 2] },
            Body::Updates(5),
            Body::Ack(6),
            Body::Resend { up: true, wave: 8 },
            Body::MembershipCheck(Message::Ping(3)),
            Body::MembershipCheck(Message::PingRequest(4)),
            Body::MembershipCheck(Message::Ack { subject: 3, state, requester: 9 }),
        ];
        all.extend([0, 1, 3, 4, 5, 800].map(|n| {
            let presence_codes = (0..n).map(|i| (i % 3) as u8).collect();
            Body::Comparison { first: 40, presence_codes, orders_digest: 99 }
        }));
        all
    }

    fn updates() -> Vec<Update> {
        let verdict = Verdict { incarnation: 4, number: 65_535, start: 9, failing: true };
        vec![
            Update::Member(8, MemberState { incarnation: 1, heartbeat: 2, status: Status::Dead }),
            Update::Verdict(77, 8, verdict, 1234),
            Update::KeyLocation(5, KeyLocation { number: 1, node: 2, server: 3 }, 40),
            Update::OperatorOrder(
                "s-1".to_owned(),
                OperatorOrder { number: 1, node: 2, cordoned: false, for_s: 9 },
                60_000,
            ),
        ]
    }

    #[test]
    fn an_encoded_datagram_decodes_to_itself_and_holds_the_updates_that_fit() {
        for body in bodies() {
            let many: Vec<Update> = updates().into_iter().cycle().take(40).collect();
            let (bytes, written) = encode(&header(), &body, &many);
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{body:?}");
            let full =
                matches!(body, Body::Comparison { ref presence_codes, .. } if presence_codes.len() == 800);
            assert!(full || written >= 4, "{body:?} left room for {written}");
            assert_eq!(decode(&bytes), Ok((header(), body, many[..written].to_vec())));
        }
    }

    #[test]
    fn truncated_corrupt_and_other_version_datagrams_are_rejected() {
        for body in bodies() {
            let (bytes, _) = encode(&header(), &body, &updates());
            for n in 0..bytes.len() {
                assert!(decode(&bytes[..n]).is_err());
                let mut corrupt = bytes.clone();
                corrupt[n] ^= 0x10;
                assert!(decode(&corrupt).is_err(), "byte {n} of {body:?}");
            }
            let longer = [&bytes[..], &[0]].concat();
            assert!(decode(&longer).is_err());
        }
        assert_eq!(decode(&[MAGIC, 9, 1, 0]), Err(DatagramError::Version(9)));
        assert_eq!(decode(&[1, 2, 3, 4, 5]), Err(DatagramError::Unknown));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
        /// No bytes make the decoder panic, even with a correct checksum.
        #[test]
        fn no_bytes_make_the_decoder_panic(mut bytes in prop::collection::vec(any::<u8>(), HEADER_BYTES..MAX_DATAGRAM_BYTES + 10), kind in 0_u8..9) {
            (bytes[0], bytes[1], bytes[2]) = (MAGIC, VERSION, kind);
            let sum = checksum(&bytes);
            bytes[HEADER_BYTES - 4..HEADER_BYTES].copy_from_slice(&sum.to_be_bytes());
            if let Ok((header, body, updates)) = decode(&bytes) {
                let (again, written) = encode(&header, &body, &updates);
                prop_assert!(written <= updates.len() && again.len() <= MAX_DATAGRAM_BYTES);
            }
        }
    }
}
