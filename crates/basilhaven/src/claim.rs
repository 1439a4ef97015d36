//! Claims on idempotency keys. An at-most-once call is sent to an upstream only after a row for its
//! key has been created in the platform's table; creating it fails if the row exists.
//!
//! The row outlives the call, so that the same call is refused if a caller sends it again, to any
//! host. The host that created the row removes it: immediately if the call is known not to have
//! run, otherwise after the [`RESEND_WINDOW`]. If the host dies before, the row stays and the key
//! remains refused.

use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sha2::Digest as _;

use crate::{call, commit, name, node};

/// How long a key stays claimed after its call's time limit.
pub const RESEND_WINDOW: Duration = Duration::from_secs(120);

/// Time limit for creating a key's row. It leaves just enough time for the longest wait under the
/// rate limit, or for a slow platform.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for removing a row; it covers an outage of the platform of that length.
const REMOVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Maximum length of an idempotency key in bytes.
pub const MAX_KEY_LEN: usize = 255;

/// A digest of an idempotency key and its service.
///
/// # Examples
///
/// ```
/// use basilhaven::claim;
///
/// let service = "catalogo".parse().unwrap();
/// assert!(claim::Key::new(&service, b"order-7").is_some());
/// assert!(claim::Key::new(&service, b"two words").is_none());
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct Key([u8; 16]);

impl Key {
    /// Returns the digest of a caller's key for a service, or `None` if the key is empty, is too
    /// long or contains anything but visible ASCII characters.
    pub fn new(service: &name::Name, key: &[u8]) -> Option<Key> {
        if key.is_empty() || key.len() > MAX_KEY_LEN || !key.iter().all(u8::is_ascii_graphic) {
            return None;
        }
        let mut hasher = sha2::Sha256::new();
        hasher.update(service.as_str());
        hasher.update([0]);
        hasher.update(key);
        let digest = hasher.finalize();
        Some(Key(digest[..16].try_into().expect("a digest of 32 bytes")))
    }

    /// Returns the key of the claim's row in the platform's table.
    ///
    /// # Examples
    ///
    /// ```
    /// use basilhaven::claim;
    ///
    /// let key = claim::Key::new(&"catalogo".parse().unwrap(), b"order-7").unwrap();
    /// assert!(key.row().starts_with("basilhaven-claim-"));
    /// ```
    pub fn row(&self) -> String {
        format!("basilhaven-claim-{:032x}", u128::from_be_bytes(self.0))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// A claim on a key, held for a call.
#[derive(Debug)]
pub struct Claim {
    row: String,
    revision: u64,
    /// When the key may be released if the call may have run.
    release_at: Instant,
}

/// Claims a key for a call, which has to end within `limit`.
///
/// # Errors
///
/// Returns an error if another call has claimed the key, or if the platform cannot confirm the
/// claim. The outcome in the refusal is unknown in both cases: an earlier call with the key may
/// have run.
pub async fn acquire(
    node: &Rc<node::Node>,
    key: Key,
    call: &call::Call,
    limit: Duration,
) -> Result<Claim, call::Refusal> {
    let started = Instant::now();
    let until = call.deadline.min(started + CLAIM_TIMEOUT);
    let wait = until.saturating_duration_since(started);
    let row = key.row();
    let written = match node.platform() {
        Some(platform) => {
            // A write that timed out may still take effect: its row then refuses the key, and no
            // call runs.
            let write = commit::create_row(platform, &row, call.id, until);
            monoio::time::timeout(wait, write).await.unwrap_or(Err(commit::Error::Unknown))
        }
        None => Err(commit::Error::NoPlatform),
    };
    let result = match written {
        Ok(revision) => Ok(Claim { row, revision, release_at: started + limit + RESEND_WINDOW }),
        Err(commit::Error::Raced(_)) => Err(call::Reason::Duplicate),
        Err(error) => {
            tracing::debug!(event = "claim_not_written", call = %call.id, %error);
            Err(call::Reason::NoClaim)
        }
    };
    let label = result.as_ref().map_or_else(ToString::to_string, |_| "won".to_owned());
    metrics::counter!("basilhaven_claims_total", "result" => label).increment(1);
    metrics::histogram!("basilhaven_claim_seconds").record(started.elapsed().as_secs_f64());
    result.map_err(|reason| {
        tracing::info!(event = "claim_refused", call = %call.id, %reason);
        call::Refusal::unknown(reason)
    })
}

impl Claim {
    /// Releases the key of a call that was not run.
    pub fn release(self, node: &Rc<node::Node>) {
        monoio::spawn(remove(Rc::clone(node), self));
    }

    /// Releases the key after the window in which its call may be sent again.
    pub fn release_after_window(self, node: &Rc<node::Node>) {
        let node = Rc::clone(node);
        monoio::spawn(async move {
            monoio::time::sleep(self.release_at.saturating_duration_since(Instant::now())).await;
            remove(node, self).await;
        });
    }
}

/// Removes the row of a claim, unless another call has claimed the key since.
async fn remove(node: Rc<node::Node>, claim: Claim) {
    let Some(platform) = node.platform() else { return };
    let until = Instant::now() + REMOVE_TIMEOUT;
    if let Err(error) = commit::remove_row(platform, &claim.row, claim.revision, until).await {
        tracing::warn!(event = "claim_not_removed", row = claim.row, %error);
    }
}
