//! A list that is read from the store page by page.

use passway_serving::ports::{ListPage, Listing};
use passway_types::prelude::*;

/// The pages of a list that were read so far.
///
/// They form no snapshot: keys of earlier pages may have changed before later pages were read. The
/// list counts as of the revision of its first page, so that a watch returns these changes.
#[derive(Debug)]
pub(super) struct PartialListing {
    listing: Listing,
    /// When the first page was requested.
    pub requested_at: Instant,
    /// The key after which the next page begins; `None` if the list is complete.
    next_after: Option<String>,
}

impl PartialListing {
    /// Starts a list with its first page, which was requested at an instant.
    pub fn begin(page: ListPage, requested_at: Instant) -> Self {
        Self {
            listing: Listing {
                values: page.values,
                revision: page.revision,
            },
            requested_at,
            next_after: page.next_after,
        }
    }

    /// Adds the next page. Returns `None` if it is of another era than the first one, because pages
    /// of two eras form no list.
    pub fn with_page(mut self, page: ListPage) -> Option<Self> {
        if page.revision.era() != self.listing.revision.era() {
            return None;
        }
        self.listing.values.extend(page.values);
        self.next_after = page.next_after;
        Some(self)
    }

    /// The key after which the next page begins; `None` if the list is complete.
    pub fn next_after(&self) -> Option<&str> {
        self.next_after.as_deref()
    }

    /// The values that were read, as of the revision of the first page.
    pub fn into_listing(self) -> Listing {
        self.listing
    }
}
