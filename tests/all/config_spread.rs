//! An accepted configuration is in force everywhere and never reverts.

use crate::processes::Processes;
use crate::support::small_plan;
use passway_config::StoredRevision;
use passway_ctl::store::{ChangeError, ConfigStore, Current};
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::key_value::Faults;
use passway_types::prelude::*;

fn next(before: &Current, author: &str, share: u32) -> StoredRevision {
    let (_, stored) = before.as_ref().expect("a revision");
    let mut document = stored.document.clone();
    document.workspaces[0].share = share;
    StoredRevision {
        revision: stored.revision + 1,
        change_id: rand::random(),
        author: author.into(),
        document,
        ..stored.clone()
    }
}

fn store_of(world: &TestCluster) -> ConfigStore {
    ConfigStore::new(Arc::new(world.key_value.clone()))
}

#[test]
fn in_force_everywhere() {
    let world = TestCluster::start(ClusterPlan {
        instances: 6,
        ..small_plan()
    })
    .expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let store = store_of(&world);
    for share in 2..5 {
        let before = store.current().expect("current");
        store
            .change(&before, &next(&before, "ann", share))
            .expect("change");
        fleet.wait_for_revision(u64::from(share)).expect("in force");
    }
}

#[test]
fn racing_operators() {
    let world = TestCluster::start(small_plan()).expect("world");
    let store = Arc::new(store_of(&world));
    let before = store.current().expect("current");
    let operators: Vec<_> = (0..8)
        .map(|number| {
            let (store, change) = (
                store.clone(),
                next(&before, &format!("op{number}"), number + 2),
            );
            let before = before.clone();
            std::thread::spawn(move || store.change(&before, &change))
        })
        .collect();
    let ended: Vec<_> = operators
        .into_iter()
        .map(|o| o.join().expect("operator"))
        .collect();
    assert_eq!(ended.iter().filter(|ended| ended.is_ok()).count(), 1);
    let conflicts = ended
        .iter()
        .filter(|ended| matches!(ended, Err(ChangeError::Conflict(_))));
    assert_eq!(conflicts.count(), 7);
    let (_, stands) = store.current().expect("current").expect("a revision");
    assert_eq!(stands.revision, 2);
    assert_eq!(
        store.revision(1).expect("history").expect("kept").revision,
        1
    );
}

#[test]
fn lost_answer_read_back() {
    let world = TestCluster::start(small_plan()).expect("world");
    let store = store_of(&world);
    let before = store.current().expect("current");
    let change = next(&before, "ann", 9);
    // The first write keeps the history of revision 1, the second is the change.
    let loses = Faults {
        answer_first: 1,
        lose_answers: 1,
        ..Faults::default()
    };
    world.key_value.set_faults(loses);
    assert_eq!(store.change(&before, &change), Ok(()));
    let (_, stands) = store.current().expect("current").expect("a revision");
    assert_eq!(stands.change_id, change.change_id);
    assert_eq!(stands.revision, 2);
}

#[test]
fn no_revert_in_outage() {
    let world = TestCluster::start(ClusterPlan {
        instances: 3,
        ..small_plan()
    })
    .expect("world");
    let mut processes = Processes::start(&world);
    let store = store_of(&world);
    let before = store.current().expect("current");
    store
        .change(&before, &next(&before, "ann", 7))
        .expect("change");
    processes.wait_for_revision(2, 3);
    world.key_value.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    // Controllers and routers come back one after the other, while nobody can
    // read the service.
    for number in 0..3 {
        processes.restart_controller(number);
        processes.wait_for_revision(2, 3);
    }
    for number in 0..3 {
        processes.restart_router(number);
    }
    processes.wait_for_revision(2, 3);
}
