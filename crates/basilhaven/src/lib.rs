//! A load balancer for calls to upstreams whose load changes within milliseconds.
//!
//! This library contains the daemon `basilhavend`: the configuration ([`config`], [`profile`]),
//! calls and their admission ([`call`], [`admission`]), the choice of an upstream ([`placement`],
//! [`service`], [`upstream`]), the forwarding of calls ([`entry`], [`http1`]), communication
//! between entry hosts ([`member`], [`peer`], [`wire`]), and the directory of entry hosts for
//! callers ([`directory`]). The module [`gateway`] contains the daemon's gateway mode, which
//! replaces most of these parts by its own.
//!
//! # Examples
//!
//! ```
//! use basilhaven::{config, profile};
//!
//! let raw = r#"{
//!     "profiles": {"default": {}, "fair": {"policy": "least-in-flight", "homes": "all"}},
//!     "services": {"catalogo": {"profile": "fair"}}
//! }"#;
//! let document = config::Document::try_from(raw)?;
//! let catalogo = "catalogo".parse().unwrap();
//! assert_eq!(document.profile_of(&catalogo).policy, profile::Policy::LeastInFlight);
//! # Ok::<(), basilhaven::finding::Findings>(())
//! ```

pub mod admin;
pub mod admission;
pub mod assignment;
pub mod budget;
pub mod call;
pub mod claim;
pub mod commit;
pub mod config;
pub mod daemon;
pub mod decision;
pub mod difference;
pub mod directory;
pub mod entry;
pub mod failure;
pub mod finding;
pub mod gateway;
pub mod gossip;
pub mod hedge;
pub mod http1;
pub mod lease;
pub mod load;
pub mod log;
pub mod member;
pub mod moves;
pub mod name;
pub mod node;
pub mod order;
pub mod outlier;
pub mod pace;
pub mod peer;
pub mod placement;
pub mod platform;
pub mod profile;
pub mod ramp;
pub mod replica;
pub mod retry;
pub mod service;
pub mod settings;
pub mod split;
pub mod stamp;
pub mod sync;
pub mod upstream;
pub mod warmup;
pub mod wire;
