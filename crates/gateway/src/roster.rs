//! Decides which router reads the store for which others.
//!
//! Load pattern: hundreds of routers that all follow the same logs. If each reads the store, the calls grow with the
//! number of routers. If one small VM forwards everything, its answers are late, and all routers read the store at
//! once.
//!
//! The strongest router is the reader. In a large group, the strongest router of each other data centre is its relay:
//! it polls the reader and forwards to its own data centre. So no router answers more than the routers of one data
//! centre and one of each other data centre. All routers derive this from the same list of members, so the next reader
//! is known before one fails.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::store::Generation;

/// Number of routers from which on one reads for others. With fewer, the saved calls are not worth another path on
/// which settings may arrive late.
pub const MIN_SHARING_ROUTERS: usize = 3;

/// Number of routers up to which all poll the reader directly.
pub const MAX_DIRECT_ROUTERS: usize = 32;

/// A router as a member of the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the VM.
    pub vm: String,
    /// Where other routers reach this one.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Number of routers that the VM can read for.
    pub strength: u32,
}

impl Member {
    /// Parses a member's name in the group; missing parts count as unknown, and as no strength.
    ///
    /// ```
    /// use gateway::roster::Member;
    /// let member = Member::parse("vm-1@10.0.0.1:7341@a@90").unwrap();
    /// assert_eq!((member.data_centre.as_str(), member.strength), ("a", 90));
    /// assert_eq!(member.to_string(), "vm-1@10.0.0.1:7341@a@90");
    /// assert!(Member::parse("vm-1").is_none());
    /// ```
    pub fn parse(name: &str) -> Option<Member> {
        let mut parts = name.split('@');
        Some(Member {
            vm: parts.next()?.to_owned(),
            address: parts.next()?.parse().ok()?,
            data_centre: parts.next().unwrap_or_default().to_owned(),
            strength: parts.next().and_then(|text| text.parse().ok()).unwrap_or_default(),
        })
    }
}

impl std::fmt::Display for Member {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Member { vm, address, data_centre, strength } = self;
        write!(f, "{vm}@{address}@{data_centre}@{strength}")
    }
}

/// Where a router reads the store's records from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// The reader, which reads the store for others.
    Reader(SocketAddr),
    /// The relay of its data centre.
    Relay(SocketAddr),
}

/// The routers of a group, the strongest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Generation of the group.
    pub generation: Generation,
    /// Names of the members.
    names: Vec<String>,
    #[serde(skip)]
    members: Vec<Member>,
}

impl Roster {
    /// Creates a roster of the members with these names; names that can't be parsed are left out.
    pub fn new(generation: Generation, mut names: Vec<String>) -> Roster {
        names.sort_unstable();
        names.dedup();
        let mut members: Vec<Member> = names.iter().filter_map(|n| Member::parse(n)).collect();
        members.sort_by(|a, b| b.strength.cmp(&a.strength).then_with(|| a.vm.cmp(&b.vm)));
        Roster { generation, names, members }
    }

    /// Completes a roster that was received from another router.
    pub fn received(self) -> Roster {
        Roster::new(self.generation, self.names)
    }

    /// Returns the members, the strongest first.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member that owns `key`, without those that `avoid` names. When a member joins or leaves, only the
    /// keys that it owns change their owner.
    ///
    /// ```
    /// use gateway::roster::Roster;
    /// let names = ["one@10.0.0.1:1@a@5", "two@10.0.0.2:1@a@9", "three@10.0.0.3:1@b@9"];
    /// let roster = Roster::new(1, names.map(str::to_owned).to_vec());
    /// let owner = roster.owner("key", |_| false).unwrap();
    /// let next = roster.owner("key", |member| member == owner).unwrap();
    /// assert_ne!(owner, next);
    /// ```
    pub fn owner(&self, key: &str, avoid: impl Fn(&Member) -> bool) -> Option<&Member> {
        let rank = |member: &&Member| xxh3_64(format!("{}/{key}", member.vm).as_bytes());
        self.members.iter().filter(|member| !avoid(member)).max_by_key(rank)
    }

    /// Returns where the router `vm` in `data_centre` reads from, without the routers that `avoid` names. That may be
    /// the router itself, if it does not reach the store.
    ///
    /// ```
    /// use gateway::roster::{Roster, Source};
    /// let names = ["big@10.0.0.1:1@a@500", "small@10.0.0.2:1@a@90", "other@10.0.0.3:1@b@90"];
    /// let roster = Roster::new(1, names.map(str::to_owned).to_vec());
    /// let big = roster.members()[0].address;
    /// assert_eq!(roster.source("big", "a", |_| false), Source::Store);
    /// assert_eq!(roster.source("other", "b", |_| false), Source::Reader(big));
    /// // Without the reader, the first of the others reads the store.
    /// assert_eq!(roster.source("other", "b", |address| address == big), Source::Store);
    /// // A reader that does not reach the store receives from the next one.
    /// let other = roster.members()[1].address;
    /// assert_eq!(roster.source("big", "a", |address| address == big), Source::Reader(other));
    /// ```
    pub fn source(
        &self,
        vm: &str,
        data_centre: &str,
        avoid: impl Fn(SocketAddr) -> bool,
    ) -> Source {
        if self.members.len() < MIN_SHARING_ROUTERS {
            return Source::Store;
        }
        let usable = || self.members.iter().filter(|m| !avoid(m.address));
        let Some(reader) = usable().next().filter(|m| m.vm != vm) else { return Source::Store };
        let relay = usable().find(|m| m.data_centre == data_centre);
        match relay {
            Some(relay) if relay.vm != vm && self.members.len() > MAX_DIRECT_ROUTERS => {
                Source::Relay(relay.address)
            }
            _ => Source::Reader(reader.address),
        }
    }
}
