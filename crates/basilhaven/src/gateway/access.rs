//! Which organisation a call belongs to, by the key in the request, and which calls are refused.
//!
//! The configuration lists organisations and their keys. A host decides by the [`Directory`] of the
//! configuration in force there; a call that another host passes on keeps that host's decision.
//! Keys are held and sent between hosts as SHA-256 digests only.

use std::fmt;
use std::rc::Rc;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::route;
use crate::finding;

/// The SHA-256 digest of a key.
type Digest = [u8; 32];

/// An organisation whose callers have keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// The name.
    pub name: Rc<str>,
    /// The priority of its calls, in place of that of their routes.
    pub priority: Option<u32>,
}

/// An organisation as the configuration lists it. Not [`Debug`](fmt::Debug), since it holds keys.
pub struct Entry {
    /// Where the configuration lists it, for findings.
    pub place: String,
    /// The organisation.
    pub organisation: Organisation,
    /// The keys that could be read.
    pub keys: Vec<Key>,
}

/// A key as the configuration lists it. Not [`Debug`](fmt::Debug), since keys must not be logged.
pub struct Key {
    /// Where the configuration lists it, for findings.
    pub place: String,
    /// The text of the key.
    pub text: String,
}

/// Whether a call may be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The call is served, for this organisation if there is one.
    Allowed(Option<Organisation>),
    /// The call is refused: its route is not public, and its key is unknown or missing.
    Denied,
}

/// The keys of a configuration, and the organisations that they belong to.
///
/// # Examples
///
/// ```
/// use basilhaven::finding;
/// use basilhaven::gateway::{access, route};
///
/// let entry = access::Entry {
///     place: "kaje80".to_owned(),
///     organisation: access::Organisation { name: "kaje80".into(), priority: Some(0) },
///     keys: vec![access::Key { place: "keys[0]".to_owned(), text: "k-1".to_owned() }],
/// };
/// let mut skipped = finding::Findings::default();
/// let directory = access::Directory::new(vec![entry], &mut skipped);
/// let route = route::Route::new("all", "/", "catalogo");
/// let access::Decision::Allowed(Some(organisation)) = directory.check(&route, Some(b"k-1")) else {
///     panic!("the key is known");
/// };
/// assert_eq!(&*organisation.name, "kaje80");
/// assert_eq!(directory.check(&route, Some(b"k-2")), access::Decision::Denied);
/// assert_eq!(directory.check(&route, None), access::Decision::Denied);
/// ```
#[derive(Clone, Default, Serialize, Deserialize)]
pub enum Directory {
    /// The configuration came from a host of an earlier build, which does not relay organisations.
    /// All calls are allowed, as that host allows them.
    #[default]
    Unknown,
    /// The configuration lists no organisations; all calls are allowed.
    Off,
    /// The configuration lists organisations.
    On(Keys),
}

/// Keys by their digests.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Keys {
    organisations: Vec<Organisation>,
    /// The index of the organisation that has each key.
    owners: IndexMap<Digest, u32>,
}

impl Keys {
    fn owner(&self, digest: &Digest) -> Option<&Organisation> {
        self.organisations.get(*self.owners.get(digest)? as usize)
    }

    /// Adds an organisation with its keys. Entries of the same name are one organisation.
    fn add(&mut self, organisation: Organisation, digests: Vec<Digest>) {
        let known = self.organisations.iter().position(|known| known.name == organisation.name);
        let index = known.unwrap_or_else(|| {
            self.organisations.push(organisation);
            self.organisations.len() - 1
        });
        self.owners.extend(digests.into_iter().map(|digest| (digest, index as u32)));
    }
}

impl Directory {
    /// Returns the directory of a configuration that lists these organisations.
    ///
    /// An entry or key that cannot be used is skipped with a finding, which does not contain the
    /// key. A key of two organisations belongs to the first.
    pub fn new(entries: Vec<Entry>, skipped: &mut finding::Findings) -> Directory {
        let mut known = Keys::default();
        for Entry { place, organisation, keys } in entries {
            if organisation.name.is_empty() {
                skipped.add(place, "has no name");
                continue;
            }
            if HeaderValue::from_bytes(organisation.name.as_bytes()).is_err() {
                skipped.add(place, "has a name that a header field cannot hold");
                continue;
            }
            let mut digests = Vec::new();
            for key in keys {
                let digest = digest_of(key.text.as_bytes());
                if key.text.trim().is_empty() {
                    skipped.add(key.place, "is empty");
                } else if let Some(owner) = known.owner(&digest) {
                    skipped.add(key.place, format!("is already a key of {}", owner.name));
                } else if digests.contains(&digest) {
                    skipped.add(key.place, "is listed twice");
                } else {
                    digests.push(digest);
                }
            }
            match digests.is_empty() {
                true => skipped.add(place, "has no keys"),
                false => known.add(organisation, digests),
            }
        }
        Directory::On(known)
    }

    /// Returns whether the configuration lists organisations.
    pub fn is_on(&self) -> bool {
        matches!(self, Directory::On(_))
    }

    /// Returns whether it is known if the configuration lists organisations.
    pub fn is_known(&self) -> bool {
        !matches!(self, Directory::Unknown)
    }

    /// Returns the number of organisations; `None` if the configuration lists none.
    pub fn organisations(&self) -> Option<usize> {
        match self {
            Directory::On(keys) => Some(keys.organisations.len()),
            Directory::Unknown | Directory::Off => None,
        }
    }

    /// Decides on a call of a route by the key in its request.
    pub fn check(&self, route: &route::Route, key: Option<&[u8]>) -> Decision {
        let Directory::On(keys) = self else { return Decision::Allowed(None) };
        match key.and_then(|key| keys.owner(&digest_of(key))) {
            Some(organisation) => Decision::Allowed(Some(organisation.clone())),
            None if route.is_public => Decision::Allowed(None),
            None => Decision::Denied,
        }
    }

    /// Returns the priority of an organisation, if it has one.
    pub fn priority_of(&self, name: &str) -> Option<u32> {
        let Directory::On(keys) = self else { return None };
        keys.organisations.iter().find(|known| *known.name == *name)?.priority
    }
}

impl fmt::Debug for Directory {
    /// Formats the number of organisations and keys: digests of weak keys can be reversed.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Directory::Unknown => f.write_str("Unknown"),
            Directory::Off => f.write_str("Off"),
            Directory::On(keys) => fmt::Debug::fmt(keys, f),
        }
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut keys = f.debug_struct("Keys");
        keys.field("organisations", &self.organisations.len());
        keys.field("keys", &self.owners.len()).finish_non_exhaustive()
    }
}

fn digest_of(key: &[u8]) -> Digest {
    Sha256::digest(key).into()
}

/// Returns the key in a request's header fields; `None` if there is none, or more than one.
pub fn presented_key<'a>(headers: &'a HeaderMap, field: &HeaderName) -> Option<&'a [u8]> {
    let mut values = headers.get_all(field).iter();
    let key = values.next()?;
    values.next().is_none().then(|| key.as_bytes())
}

/// The part of a configuration that hosts send after the message that carries it, since builds
/// without organisations read the serialized form of [`route::Table`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Appendix {
    directory: Directory,
    /// The public routes, each as the positions of its host name and of itself there.
    public_routes: Vec<(u32, u32)>,
}

impl Appendix {
    /// Returns the part of a configuration that its serialized form lacks.
    pub fn of(table: &route::Table) -> Appendix {
        let positions = table.hosts.values().enumerate().flat_map(|(host, routes)| {
            let public = routes.iter().enumerate().filter(|(_, route)| route.is_public);
            public.map(move |(number, _)| (host as u32, number as u32))
        });
        Appendix { directory: table.directory.clone(), public_routes: positions.collect() }
    }

    /// Adds this part to a configuration that was received without it.
    pub fn complete(self, table: &mut route::Table) {
        table.directory = self.directory;
        for (host, number) in self.public_routes {
            let routes = table.hosts.get_index_mut(host as usize).map(|(_, routes)| routes);
            if let Some(route) = routes.and_then(|routes| routes.get_mut(number as usize)) {
                Rc::make_mut(route).is_public = true;
            }
        }
    }
}
