//! Datagrams between nodes: at most 256 bytes, checksummed, each with its sender's life and a running number. What
//! is cut, of another version, spoilt or absurd is refused whole.

use super::membership::{MemberState, Message, Ms, NodeId, Status};
use super::shared_state::{KeyLocation, MAX_TENANTS, OperatorOrder, TenantTotals, Verdict};
use bytes::{Buf, BufMut};
use thiserror::Error;

/// A longer datagram breaks the deployment's rules.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// First byte; what nodes tell each other of backends (`src/news.rs`) begins with a small number.
const MAGIC: u8 = 0xd1;
/// Of the form that is told here.
const VERSION: u8 = 1;
/// Bytes before the body: magic, version, kind, status, sender, incarnation, beat, number, checksum.
const HEAD: usize = 4 + 2 + 4 + 4 + 4 + 4;
/// A server's name in an operator's word is no longer.
pub const MAX_NAME_BYTES: usize = 64;
/// An age beyond this is told as this.
const OLDEST: Ms = 65_535;

/// Why a datagram is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DatagramError {
    /// It is none of these.
    #[error("not a datagram of the fleet's")]
    Unknown,
    /// Of a version that this build does not speak.
    #[error("of version {0}")]
    Version(u8),
    /// Cut, or spoilt.
    #[error("cut or spoilt")]
    Corrupt,
}

/// Who sends, how it lives, and which of its datagrams this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Its number.
    pub from: NodeId,
    /// What it says of itself.
    pub state: MemberState,
    /// Counts its datagrams since its start.
    pub number: u32,
}

/// A piece of news.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// How a member fares.
    Member(NodeId, MemberState),
    /// What a node found of a server, and how old that is.
    Verdict(u32, NodeId, Verdict, Ms),
    /// Where a key has gone, and how old that is.
    KeyLocation(u32, KeyLocation, Ms),
    /// An operator's word, and how old it is.
    OperatorOrder(String, OperatorOrder, Ms),
}

/// What a datagram is about.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// What was counted below the sender, for its parent.
    TotalsUp {
        /// Which wave it is for.
        wave: u32,
        /// The counts.
        totals: TenantTotals,
        /// Digests of members and words.
        digests: [u32; 2],
    },
    /// What all of them counted, from the root.
    TotalsDown {
        /// The root, and which of its starts.
        root: (NodeId, u32),
        /// Counts up there.
        wave: u32,
        /// How far from the root the sender is.
        depth: u8,
        /// The counts.
        totals: TenantTotals,
        /// Digests of members and words.
        digests: [u32; 2],
    },
    /// News that is to be acknowledged.
    Updates(u16),
    /// It was.
    Ack(u16),
    /// Say again, please: `up`, what you counted; else a wave after that one.
    Resend {
        /// Which of them.
        up: bool,
        /// The wave that is known.
        wave: u32,
    },
    /// A question of membership, or its answer.
    MembershipCheck(Message),
    /// Statuses of members from `first` on, two bits each.
    Comparison {
        /// The first one.
        first: NodeId,
        /// 0 there, 1 gone, 2 left.
        classes: Vec<u8>,
        /// Digest of the words.
        words: u32,
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

/// Members that one comparison tells of.
pub const COMPARED: usize = 800;

fn put_life(out: &mut Vec<u8>, state: &MemberState) {
    out.put_u32(state.incarnation);
    out.put_u32(state.heartbeat);
    out.put_u8(state.status as u8);
}

fn put_totals(out: &mut Vec<u8>, totals: &TenantTotals, digests: [u32; 2]) {
    out.put_u16(totals.counted);
    out.put_u16(totals.age.min(OLDEST) as u16);
    digests.iter().for_each(|d| out.put_u32(*d));
    out.put_u8(totals.tenants.len().min(MAX_TENANTS) as u8);
    for (tenant, rate) in totals.tenants.iter().take(MAX_TENANTS) {
        out.put_u32(*tenant);
        out.put_f32(*rate);
    }
}

impl Update {
    fn put(&self, out: &mut Vec<u8>) {
        match self {
            Update::Member(node, state) => {
                out.put_u8(1);
                out.put_u16(*node);
                put_life(out, state);
            }
            Update::Verdict(server, node, f, age) => {
                out.put_u8(if f.failing { 2 } else { 3 });
                out.put_u32(*server);
                out.put_u16(*node);
                out.put_u32(f.incarnation);
                out.put_u16(f.number);
                out.put_u32(f.start);
                out.put_u16((*age).min(OLDEST) as u16);
            }
            Update::KeyLocation(key, place, age) => {
                out.put_u8(4);
                out.put_u32(*key);
                out.put_u32(place.number);
                out.put_u16(place.node);
                out.put_u32(place.server);
                out.put_u16((*age).min(OLDEST) as u16);
            }
            Update::OperatorOrder(server, word, age) => {
                out.put_u8(if word.cordoned { 5 } else { 6 });
                out.put_u32(word.number);
                out.put_u16(word.node);
                out.put_u32(word.for_s);
                out.put_u32(u32::try_from(*age / 1000).unwrap_or(u32::MAX));
                out.put_u8(server.len() as u8);
                out.put_slice(server.as_bytes());
            }
        }
    }
}

/// Writes a datagram with as many of the items, in their order, as there is room for; and says how many that were.
pub fn encode(head: &Header, body: &Body, items: &[Update]) -> (Vec<u8>, usize) {
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    out.put_slice(&[MAGIC, VERSION, body.kind(), head.state.status as u8]);
    out.put_u16(head.from);
    out.put_u32(head.state.incarnation);
    out.put_u32(head.state.heartbeat);
    out.put_u32(head.number);
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
            put_life(&mut out, state);
        }
        Body::Comparison { first, classes, words } => {
            let classes = classes.get(..classes.len().min(COMPARED)).unwrap_or_default();
            out.put_u16(*first);
            out.put_u16(classes.len() as u16);
            out.put_u32(*words);
            for four in classes.chunks(4) {
                out.put_u8(four.iter().rev().fold(0, |byte, class| byte << 2 | (class & 3)));
            }
        }
    }
    let mut written = 0;
    for item in items {
        let before = out.len();
        item.put(&mut out);
        if out.len() > MAX_DATAGRAM_BYTES {
            out.truncate(before);
            break;
        }
        written += 1;
    }
    let sum = checksum(&out);
    if let Some(place) = out.get_mut(HEAD - 4..HEAD) {
        place.copy_from_slice(&sum.to_be_bytes());
    }
    (out, written)
}

/// Of all but its own four bytes.
fn checksum(bytes: &[u8]) -> u32 {
    let mut hash = crc32fast::Hasher::new();
    hash.update(bytes.get(..HEAD - 4).unwrap_or_default());
    hash.update(bytes.get(HEAD..).unwrap_or_default());
    hash.finalize()
}

/// Reads what a writer put; every step says none where there is nothing left.
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
            let rises = tenants.last().is_none_or(|(last, _)| *last < tenant);
            if !rate.is_finite() || rate < 0.0 || !rises || tenants.len() >= MAX_TENANTS {
                return None;
            }
            tenants.push((tenant, rate));
        }
        Some((TenantTotals { tenants, counted, age }, digests))
    }

    fn item(&mut self) -> Option<Update> {
        Some(match self.u8()? {
            1 => Update::Member(self.u16()?, self.state()?),
            kind @ (2 | 3) => {
                let (server, node) = (self.u32()?, self.u16()?);
                let finding = Verdict {
                    incarnation: self.u32()?,
                    number: self.u16()?,
                    start: self.u32()?,
                    failing: kind == 2,
                };
                Update::Verdict(server, node, finding, Ms::from(self.u16()?))
            }
            4 => {
                let key = self.u32()?;
                let place = KeyLocation { number: self.u32()?, node: self.u16()?, server: self.u32()? };
                Update::KeyLocation(key, place, Ms::from(self.u16()?))
            }
            kind @ (5 | 6) => {
                let word = OperatorOrder {
                    number: self.u32()?,
                    node: self.u16()?,
                    cordoned: kind == 5,
                    for_s: self.u32()?,
                };
                let (age, length) = (Ms::from(self.u32()?) * 1000, usize::from(self.u8()?));
                let name = self.0.get(..length).filter(|_| (1..=MAX_NAME_BYTES).contains(&length))?;
                let name = std::str::from_utf8(name).ok()?.to_owned();
                self.0.advance(length);
                Update::OperatorOrder(name, word, age)
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
                let (first, count, words) = (self.u16()?, usize::from(self.u16()?), self.u32()?);
                let mut classes = Vec::new();
                while classes.len() < count.min(COMPARED) {
                    let byte = self.u8()?;
                    classes.extend([0, 2, 4, 6].map(|shift| byte >> shift & 3));
                }
                classes.truncate(count);
                Body::Comparison { first, classes, words }
            }
            _ => return None,
        })
    }
}

/// Reads a datagram.
///
/// # Errors
/// It is none, or not whole.
pub fn decode(bytes: &[u8]) -> Result<(Header, Body, Vec<Update>), DatagramError> {
    let &[MAGIC, version, kind, ..] = bytes else { return Err(DatagramError::Unknown) };
    if version != VERSION {
        return Err(DatagramError::Version(version));
    }
    let sum = bytes.get(HEAD - 4..HEAD).and_then(|b| b.try_into().ok()).map(u32::from_be_bytes);
    if bytes.len() > MAX_DATAGRAM_BYTES || sum != Some(checksum(bytes)) {
        return Err(DatagramError::Corrupt);
    }
    let mut reader = Reader(bytes.get(3..).unwrap_or_default());
    let whole = |reader: &mut Reader| {
        let status = reader.status()?;
        let from = reader.u16()?;
        let state = MemberState { incarnation: reader.u32()?, heartbeat: reader.u32()?, status };
        let head = Header { from, state, number: reader.u32()? };
        reader.u32()?;
        let body = reader.body(kind)?;
        let mut items = Vec::new();
        while !reader.0.is_empty() {
            items.push(reader.item()?);
        }
        Some((head, body, items))
    };
    whole(&mut reader).ok_or(DatagramError::Corrupt)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn head() -> Header {
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
        let state = head().state;
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
            let classes = (0..n).map(|i| (i % 3) as u8).collect();
            Body::Comparison { first: 40, classes, words: 99 }
        }));
        all
    }

    fn items() -> Vec<Update> {
        let finding = Verdict { incarnation: 4, number: 65_535, start: 9, failing: true };
        vec![
            Update::Member(8, MemberState { incarnation: 1, heartbeat: 2, status: Status::Dead }),
            Update::Verdict(77, 8, finding, 1234),
            Update::KeyLocation(5, KeyLocation { number: 1, node: 2, server: 3 }, 40),
            Update::OperatorOrder(
                "s-1".to_owned(),
                OperatorOrder { number: 1, node: 2, cordoned: false, for_s: 9 },
                60_000,
            ),
        ]
    }

    #[test]
    fn a_datagram_is_read_as_it_was_written_and_holds_what_fits() {
        for body in bodies() {
            let many: Vec<Update> = items().into_iter().cycle().take(40).collect();
            let (bytes, written) = encode(&head(), &body, &many);
            assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{body:?}");
            let full = matches!(body, Body::Comparison { ref classes, .. } if classes.len() == 800);
            assert!(full || written >= 4, "{body:?} left room for {written}");
            assert_eq!(decode(&bytes), Ok((head(), body, many[..written].to_vec())));
        }
    }

    #[test]
    fn what_is_cut_spoilt_or_of_another_version_is_refused() {
        for body in bodies() {
            let (bytes, _) = encode(&head(), &body, &items());
            for n in 0..bytes.len() {
                assert!(decode(&bytes[..n]).is_err());
                let mut spoilt = bytes.clone();
                spoilt[n] ^= 0x10;
                assert!(decode(&spoilt).is_err(), "byte {n} of {body:?}");
            }
            let longer = [&bytes[..], &[0]].concat();
            assert!(decode(&longer).is_err());
        }
        assert_eq!(decode(&[MAGIC, 9, 1, 0]), Err(DatagramError::Version(9)));
        assert_eq!(decode(&[1, 2, 3, 4, 5]), Err(DatagramError::Unknown));
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
        /// With a right checksum, too, nothing that is read can stop the reader.
        #[test]
        fn no_bytes_stop_the_reader(mut bytes in prop::collection::vec(any::<u8>(), HEAD..MAX_DATAGRAM_BYTES + 10), kind in 0_u8..9) {
            (bytes[0], bytes[1], bytes[2]) = (MAGIC, VERSION, kind);
            let sum = checksum(&bytes);
            bytes[HEAD - 4..HEAD].copy_from_slice(&sum.to_be_bytes());
            if let Ok((head, body, items)) = decode(&bytes) {
                let (again, written) = encode(&head, &body, &items);
                prop_assert!(written <= items.len() && again.len() <= MAX_DATAGRAM_BYTES);
            }
        }
    }
}
