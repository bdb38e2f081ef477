//! Whether the configuration counts as current depends on the time given to the check, not on the
//! last tick.

use passway_config::Catalog;
use passway_decide::router::RouterCore;
use passway_types::prelude::*;

/// Time without confirmation of the configuration after which new requests are refused.
const STALE_LIMIT: Duration = Duration::from_secs(7);

fn refusal_code(core: &RouterCore, now: Instant) -> Option<ResultCode> {
    core.check_serving(now).err().map(|refusal| refusal.code)
}

#[test]
fn config_current_without_tick() {
    let now = Instant::now();
    let mut core = RouterCore::new(1, Arc::new(Catalog::default()), now);
    core.set_config_current_until(now);
    assert_eq!(refusal_code(&core, now), Some(ResultCode::ConfigStale));
    // The time is extended first and the configuration arrives afterwards; no tick runs in between.
    core.set_config_current_until(now + STALE_LIMIT);
    assert_eq!(refusal_code(&core, now), Some(ResultCode::ConfigStale));
    let catalog = Catalog {
        revision: 1,
        ..Catalog::default()
    };
    core.use_catalog(Arc::new(catalog));
    assert_eq!(refusal_code(&core, now), None);
}

#[test]
fn config_stale_without_tick() {
    let now = Instant::now();
    let catalog = Catalog {
        revision: 1,
        ..Catalog::default()
    };
    let mut core = RouterCore::new(1, Arc::new(catalog), now);
    core.set_config_current_until(now + STALE_LIMIT);
    let last_current = now + STALE_LIMIT.saturating_sub(Duration::from_millis(1));
    assert_eq!(refusal_code(&core, last_current), None);
    assert_eq!(
        refusal_code(&core, now + STALE_LIMIT),
        Some(ResultCode::ConfigStale)
    );
}
