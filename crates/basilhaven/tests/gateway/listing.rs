//! A feed is read page by page, whatever its pages hold and however long they take.

use std::time::{Duration, Instant};

use basilhaven::gateway::listing::Listing;
use basilhaven::gateway::store::{Change, Error, Page, Revision};

fn page(number: u64, last: Option<&str>, has_more: bool) -> Page {
    let id = last.unwrap_or_default();
    let items = vec![Change::Upstream { id: id.into(), entry: None }];
    Page { items, revision: Revision::from(number), last: last.map(|key| key.into()), has_more }
}

// Guards against a read that asks for the same page again and again.
#[test]
fn a_page_that_does_not_lead_to_the_next_one_is_an_error() {
    for last in [None, Some("a"), Some("b")] {
        let (mut listing, now) = (Listing::default(), Instant::now());
        assert!(listing.add(page(1, Some("b"), true), now).unwrap().is_none());
        let error = listing.add(page(1, last, true), now).unwrap_err();
        assert!(matches!(&error, Error::Endless(Some(key)) if key == "b"), "{error}");
        // The read begins anew.
        assert_eq!(listing.request().after, None);
        let all = listing.add(page(2, Some("b"), false), now).unwrap().expect("the last page");
        assert_eq!(all.changes.items.len(), 1);
    }
    let error = Listing::default().add(page(1, None, true), Instant::now()).unwrap_err();
    assert!(matches!(error, Error::Endless(None)), "{error}");
}

// Guards against a list that starts anew with each page that fails, and is never read whole.
#[test]
fn pages_that_were_read_are_kept_when_the_next_one_fails() {
    let (mut listing, now) = (Listing::default(), Instant::now());
    listing.add(page(3, Some("a"), true), now).unwrap();
    listing.record_failure();
    assert_eq!(listing.request().after.as_deref(), Some("a"));
    assert_eq!(listing.idle_time(now + Duration::from_secs(1)), Duration::from_secs(1));
    let all = listing.add(page(4, Some("b"), false), now).unwrap().expect("the last page");
    assert_eq!((all.changes.items.len(), all.changes.revision), (2, Revision::from(3)));
}

// Guards against pages that are too long for the time in which they have to arrive.
#[test]
fn pages_get_shorter_with_each_failure_and_longer_with_each_page() {
    let mut listing = Listing::default();
    let longest = listing.request().max_rows;
    (0..10).for_each(|_| listing.record_failure());
    let shortest = listing.request().max_rows;
    assert!((1..longest).contains(&shortest), "{shortest} rows");
    for number in 0..10 {
        listing.add(page(1, Some(&format!("{number}")), true), Instant::now()).unwrap();
    }
    assert_eq!(listing.request().max_rows, longest);
}

// Guards against a list that counts as old when it is read, as the store was away before.
#[test]
fn the_time_of_a_read_begins_with_the_first_page_that_arrives() {
    let mut listing = Listing::default();
    listing.request();
    std::thread::sleep(Duration::from_millis(20));
    listing.record_failure();
    let requested_at = Instant::now();
    listing.request();
    let all = listing.add(page(1, None, false), Instant::now()).unwrap().expect("the last page");
    assert!(all.began_at >= requested_at);
    // The last page, too, shows that the store responds.
    assert!(listing.idle_time(Instant::now()) < Duration::from_secs(1));
}

#[test]
fn pages_from_before_and_after_a_restore_are_not_mixed() {
    let (mut listing, now) = (Listing::default(), Instant::now());
    listing.add(page(9, Some("a"), true), now).unwrap();
    let restored = Revision { era: 1.into(), number: 8 };
    let error = listing.add(Page { revision: restored, ..page(8, Some("b"), false) }, now);
    assert!(matches!(error, Err(Error::Restored)));
    assert_eq!(listing.request().after, None);
}
