//! Whether the configuration counts as current is told from the moment asked about.

use passway_config::Catalog;
use passway_decide::router::RouterCore;
use passway_types::prelude::*;

/// Time without word after which new work is refused.
const LIMIT: Duration = Duration::from_secs(7);

fn code(core: &RouterCore, now: Instant) -> Option<ResultCode> {
    core.check_serving(now).err().map(|refusal| refusal.code)
}

#[test]
fn current_without_tick() {
    let now = Instant::now();
    let mut core = RouterCore::new(1, Arc::new(Catalog::default()), now);
    core.set_config_current_until(now);
    assert_eq!(code(&core, now), Some(ResultCode::ConfigStale));
    // Word comes, then the configuration; no tick runs in between.
    core.set_config_current_until(now + LIMIT);
    assert_eq!(code(&core, now), Some(ResultCode::ConfigStale));
    let catalog = Catalog {
        revision: 1,
        ..Catalog::default()
    };
    core.use_catalog(Arc::new(catalog));
    assert_eq!(code(&core, now), None);
}

#[test]
fn stale_without_tick() {
    let now = Instant::now();
    let catalog = Catalog {
        revision: 1,
        ..Catalog::default()
    };
    let mut core = RouterCore::new(1, Arc::new(catalog), now);
    core.set_config_current_until(now + LIMIT);
    let last = now + LIMIT.saturating_sub(Duration::from_millis(1));
    assert_eq!(code(&core, last), None);
    assert_eq!(code(&core, now + LIMIT), Some(ResultCode::ConfigStale));
}
