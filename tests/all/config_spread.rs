//! An accepted configuration comes into force on all instances and never reverts.

use crate::processes::Processes;
use crate::support::small_plan;
use passway_config::StoredRevision;
use passway_ctl::store::{ChangeError, ConfigStore, CurrentRevision};
use passway_standins::cluster::{ClusterPlan, TestCluster};
use passway_standins::key_value::Faults;
use passway_types::prelude::*;

fn next_revision(previous: &CurrentRevision, author: &str, share: u32) -> StoredRevision {
    let (_, stored) = previous.as_ref().expect("a revision");
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

fn config_store(world: &TestCluster) -> ConfigStore {
    ConfigStore::new(Arc::new(world.key_value.clone()))
}

#[test]
fn in_force_on_all_instances() {
    let world = TestCluster::start(ClusterPlan {
        instances: 6,
        ..small_plan()
    })
    .expect("world");
    let fleet = world.start_fleet().expect("fleet");
    let store = config_store(&world);
    for share in 2..5 {
        let previous = store.current().expect("current");
        store
            .change(&previous, &next_revision(&previous, "ann", share))
            .expect("change");
        fleet.wait_for_revision(u64::from(share)).expect("in force");
    }
}

#[test]
fn concurrent_operators() {
    let world = TestCluster::start(small_plan()).expect("world");
    let store = Arc::new(config_store(&world));
    let previous = store.current().expect("current");
    let operators: Vec<_> = (0..8)
        .map(|number| {
            let (store, change) = (
                store.clone(),
                next_revision(&previous, &format!("op{number}"), number + 2),
            );
            let previous = previous.clone();
            std::thread::spawn(move || store.change(&previous, &change))
        })
        .collect();
    let results: Vec<_> = operators
        .into_iter()
        .map(|operator| operator.join().expect("operator"))
        .collect();
    assert_eq!(results.iter().filter(|result| result.is_ok()).count(), 1);
    let conflicts = results
        .iter()
        .filter(|result| matches!(result, Err(ChangeError::Conflict(_))));
    assert_eq!(conflicts.count(), 7);
    let (_, current) = store.current().expect("current").expect("a revision");
    assert_eq!(current.revision, 2);
    assert_eq!(
        store.revision(1).expect("history").expect("kept").revision,
        1
    );
}

#[test]
fn lost_answer_read_back() {
    let world = TestCluster::start(small_plan()).expect("world");
    let store = config_store(&world);
    let previous = store.current().expect("current");
    let change = next_revision(&previous, "ann", 9);
    // The first write stores revision 1 in the history and its answer arrives. The second
    // write is the change, and its answer is lost.
    let faults = Faults {
        answer_first: 1,
        lose_answers: 1,
        ..Faults::default()
    };
    world.key_value.set_faults(faults);
    assert_eq!(store.change(&previous, &change), Ok(()));
    let (_, current) = store.current().expect("current").expect("a revision");
    assert_eq!(current.change_id, change.change_id);
    assert_eq!(current.revision, 2);
}

#[test]
fn no_revert_during_outage() {
    let world = TestCluster::start(ClusterPlan {
        instances: 3,
        ..small_plan()
    })
    .expect("world");
    let mut processes = Processes::start(&world);
    let store = config_store(&world);
    let previous = store.current().expect("current");
    store
        .change(&previous, &next_revision(&previous, "ann", 7))
        .expect("change");
    processes.wait_for_revision(2, 3);
    world.key_value.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    // Controllers and routers restart one after the other while the key-value service is
    // unavailable.
    for number in 0..3 {
        processes.restart_controller(number);
        processes.wait_for_revision(2, 3);
    }
    for number in 0..3 {
        processes.restart_router(number);
    }
    processes.wait_for_revision(2, 3);
}
