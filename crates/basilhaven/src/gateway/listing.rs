//! Reads all rows of a feed, page by page.
//!
//! The rows may be many, as other writers add rows of their own, and a page may take long over a
//! slow link. A page that was read is therefore kept when the next one fails, and pages get smaller
//! when they are not answered in time.

use std::time::{Duration, Instant};

use super::store;

/// Rows requested in one page: at first, and after pages that were not answered. The fewest take
/// a quarter of a second over a link of 10 Mbit/s if each row has 64 KiB.
const MAX_PAGE_LEN: usize = 500;
const MIN_PAGE_LEN: usize = 4;

/// Factors by which the number of rows grows with each page, and shrinks with each failure.
const GROWTH: usize = 2;
const SHRINKAGE: usize = 4;

/// A feed that is being read.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
/// use basilhaven::gateway::{listing, store};
///
/// let mut listing = listing::Listing::default();
/// let page = |last: &str, number: u64, has_more| store::Page {
///     items: Vec::new(),
///     revision: number.into(),
///     last: Some(last.into()),
///     has_more,
/// };
/// assert_eq!(listing.request().after, None);
/// assert!(listing.add(page("i-499", 7, true), Instant::now()).unwrap().is_none());
/// assert_eq!(listing.request().after.as_deref(), Some("i-499"));
/// let all = listing.add(page("i-530", 8, false), Instant::now()).unwrap().unwrap();
/// // Changes after the first page are still to be polled for.
/// assert_eq!(all.changes.revision, store::Revision::from(7));
/// ```
#[derive(Debug)]
pub struct Listing {
    items: Vec<store::Change>,
    /// The lowest revision of the pages so far; `None` before the first one.
    revision: Option<store::Revision>,
    after: Option<store::Cursor>,
    page_len: usize,
    /// When the first page was requested.
    began_at: Option<Instant>,
    /// When the last page arrived.
    advanced_at: Option<Instant>,
}

impl Default for Listing {
    fn default() -> Listing {
        Listing {
            items: Vec::new(),
            revision: None,
            after: None,
            page_len: MAX_PAGE_LEN,
            began_at: None,
            advanced_at: None,
        }
    }
}

/// The next page to request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The row that the page follows; `None` for the first page.
    pub after: Option<store::Cursor>,
    /// The most rows of the page.
    pub max_rows: usize,
}

/// All rows of a feed.
#[derive(Debug)]
pub struct Complete {
    /// The rows.
    pub changes: store::Changes,
    /// When the first page was requested; the rows may lack changes since then.
    pub began_at: Instant,
}

impl Listing {
    /// Returns the next page to request.
    pub fn request(&mut self) -> Request {
        self.began_at.get_or_insert_with(Instant::now);
        Request { after: self.after.clone(), max_rows: self.page_len }
    }

    /// Adds the page that was requested last; returns all rows after the last page.
    ///
    /// # Errors
    ///
    /// Returns an error if the store has been restored since the first page, or if the page does
    /// not lead to another one although there are more rows. The next page is then the first one.
    pub fn add(
        &mut self,
        page: store::Page,
        now: Instant,
    ) -> Result<Option<Complete>, store::Error> {
        let revision = self.revision.unwrap_or(page.revision);
        if revision.era != page.revision.era {
            self.restart();
            return Err(store::Error::Restored);
        }
        // Pages are read at different revisions; polling after the lowest one misses no change.
        let revision = revision.min(page.revision);
        self.items.extend(page.items);
        if page.has_more && (page.last.is_none() || page.last <= self.after) {
            let after = self.after.take();
            self.restart();
            return Err(store::Error::Endless(after.map(|after| after.to_string())));
        }
        self.advanced_at = Some(now);
        self.page_len = (self.page_len * GROWTH).min(MAX_PAGE_LEN);
        if !page.has_more {
            let changes = store::Changes { items: std::mem::take(&mut self.items), revision };
            let began_at = self.began_at.unwrap_or(now);
            self.restart();
            return Ok(Some(Complete { changes, began_at }));
        }
        self.after = page.last;
        self.revision = Some(revision);
        Ok(None)
    }

    /// Records that the requested page did not arrive.
    pub fn record_failure(&mut self) {
        self.page_len = (self.page_len / SHRINKAGE).max(MIN_PAGE_LEN);
        if self.revision.is_none() {
            self.began_at = None;
        }
    }

    /// Returns the time since the last page arrived; `Duration::MAX` if there is none.
    pub fn idle_time(&self, now: Instant) -> Duration {
        self.advanced_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }

    /// Drops what was read, so that the next page is the first one.
    pub fn restart(&mut self) {
        let (page_len, advanced_at) = (self.page_len, self.advanced_at);
        *self = Listing { page_len, advanced_at, ..Listing::default() };
    }
}
