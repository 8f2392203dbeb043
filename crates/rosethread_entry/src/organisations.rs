//! The organisations that share the platform, and whose credential a call carries.
//!
//! The operator's configuration names the organisations with their keys. Only digests of the keys are
//! kept, and only digests travel between hosts. Where the configuration names no organisations, calls
//! need no credential and are passed on as they come. See `docs/design/organisations.md`.

use std::{collections::BTreeMap, fmt, sync::Arc};

use displaydoc::Display;
use rosethread_types::{Digest, OrganisationName};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

/// Separates the digests of keys from all others.
const KEY_DOMAIN: &[u8] = b"rosethread organisation key";

/// The bytes by which digests are looked up; the others are compared in constant time.
const LOOKUP_BYTES: usize = 8;

/// The calls that an organisation may make, at all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimit {
    /// Calls per second.
    pub per_s: f64,
    /// Calls that it may make at once after a pause, in addition to the rate.
    pub burst: f64,
}

/// One organisation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name, which targets are told.
    pub name: OrganisationName,
    /// The priority of its calls, which goes before that of their routes.
    pub priority: Option<u8>,
    /// Its limit; `None` if it has none.
    pub limit: Option<RateLimit>,
}

/// The digest of an organisation's key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest(Digest);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of_key(key: &[u8]) -> KeyDigest {
        KeyDigest(Digest::default().chain(&[KEY_DOMAIN, key]))
    }

    /// Returns the digest with the same first bytes in which all others are `filler`.
    fn with_filler(self, filler: u8) -> KeyDigest {
        let mut bytes = [filler; 32];
        bytes[..LOOKUP_BYTES].copy_from_slice(&self.0.0[..LOOKUP_BYTES]);
        KeyDigest(Digest(bytes))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(hidden)")
    }
}

/// The credential that a call carries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Credential {
    /// It carries none.
    #[default]
    Missing,
    /// What it carries is no key of the expected form.
    Malformed,
    /// It carries a key.
    Key(KeyDigest),
}

/// Why the organisation of a call is not known.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum NoOrganisation {
    /// the call carries no key
    Missing,
    /// the call carries several keys, an empty one, or another form of credential
    Malformed,
    /// the key belongs to no organisation
    Unknown,
}

impl std::error::Error for NoOrganisation {}

impl NoOrganisation {
    /// Returns the value of the `result` label in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            NoOrganisation::Missing => "missing",
            NoOrganisation::Malformed => "malformed",
            NoOrganisation::Unknown => "unknown",
        }
    }
}

/// On whose behalf a call is made.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Identity {
    /// The configuration names no organisations.
    #[default]
    Unchecked,
    /// The call needs no credential, and carries none that is known.
    Public,
    /// The call carries a key of this organisation.
    Organisation(Arc<Organisation>),
}

impl Identity {
    /// Returns the organisation, if there is one.
    pub fn organisation(&self) -> Option<&Arc<Organisation>> {
        match self {
            Identity::Organisation(organisation) => Some(organisation),
            Identity::Unchecked | Identity::Public => None,
        }
    }

    /// Returns the name of the organisation for logs; empty if there is none.
    pub(crate) fn name(&self) -> &str {
        self.organisation().map_or("", |it| it.name.as_str())
    }

    /// Returns the text under which an identifier that a caller has chosen is known to all hosts, so
    /// that two organisations with the same identifiers never meet. Without organisations it is the
    /// identifier itself.
    ///
    /// The text is as long as a label may be at most: longer ones are replaced by a digest.
    pub fn scope(&self, id: &str) -> String {
        let owner = match self {
            Identity::Unchecked => return id.to_owned(),
            Identity::Public => "",
            Identity::Organisation(organisation) => organisation.name.as_str(),
        };
        let text = format!("{owner}{SCOPE_SEPARATOR}{id}");
        // Nobody may name a text that stands for a digest.
        let is_distinct = !owner.contains(SCOPE_SEPARATOR) && !text.starts_with(DIGEST_MARK);
        if text.len() <= MAX_SCOPED_BYTES && is_distinct {
            return text;
        }
        let digest = Digest::default().chain(&[owner.as_bytes(), id.as_bytes()]).to_string();
        format!("{DIGEST_MARK}{}", &digest[..DIGEST_CHARS])
    }
}

/// The longest scoped identifier that is not replaced by a digest, in bytes.
const MAX_SCOPED_BYTES: usize = 64;

/// What precedes the digest in a scoped identifier.
const DIGEST_MARK: &str = "//";

/// The separator of a scoped identifier, which thus contains at least one.
pub(crate) const SCOPE_SEPARATOR: char = '/';

/// The characters of such a digest, in hexadecimal.
const DIGEST_CHARS: usize = 48;

/// All organisations of one configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Organisations {
    by_name: BTreeMap<OrganisationName, Arc<Organisation>>,
    /// Who holds each key; `None` for one that several organisations hold, and which thus says
    /// nothing of its bearer.
    holders: BTreeMap<KeyDigest, Option<OrganisationName>>,
}

impl Organisations {
    /// Adds an organisation and its keys. An organisation that is added again keeps its earlier keys,
    /// and has the priority and the limit that were added last.
    pub fn add<K>(&mut self, organisation: Organisation, keys: K)
    where
        K: IntoIterator<Item = KeyDigest>,
    {
        let name = organisation.name.clone();
        for key in keys {
            let holder = self.holders.entry(key).or_insert_with(|| Some(name.clone()));
            if holder.as_ref() != Some(&name) {
                *holder = None;
            }
        }
        self.by_name.insert(name, Arc::new(organisation));
    }

    /// Returns the organisations in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }

    /// Returns the organisation with this name.
    pub fn get(&self, name: &OrganisationName) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Returns the number of keys that several organisations hold.
    pub fn ambiguous_keys(&self) -> usize {
        self.holders.values().filter(|it| it.is_none()).count()
    }

    fn find(&self, key: KeyDigest) -> Option<&Arc<Organisation>> {
        let candidates = self.holders.range(key.with_filler(0)..=key.with_filler(u8::MAX));
        let is_equal = |it: &KeyDigest| bool::from(it.0.0.ct_eq(&key.0.0));
        let (_, holder) = candidates.into_iter().find(|(it, _)| is_equal(it))?;
        self.by_name.get(holder.as_ref()?)
    }

    /// Returns on whose behalf a call is made.
    ///
    /// # Errors
    ///
    /// Returns why the organisation is not known, on a route that is not public.
    pub fn identify(
        &self,
        credential: Credential,
        is_public: bool,
    ) -> Result<Identity, NoOrganisation> {
        let found = match credential {
            Credential::Missing => Err(NoOrganisation::Missing),
            Credential::Malformed => Err(NoOrganisation::Malformed),
            Credential::Key(key) => self.find(key).ok_or(NoOrganisation::Unknown),
        };
        match found {
            Ok(organisation) => Ok(Identity::Organisation(organisation.clone())),
            Err(_) if is_public => Ok(Identity::Public),
            Err(error) => Err(error),
        }
    }
}
