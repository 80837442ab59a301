//! Tests of configuration updates.

use std::sync::Arc;

use ochreshed_catalog::configuration_update::{UpdateCache, UpdateError};
use ochreshed_consensus::messages::{RegisterValue, Revision};

fn configuration(version: u64, routes: usize) -> Arc<RegisterValue> {
    let text: String =
        (0..routes).map(|index| format!(r#"{{"route":"r-{index}","version":{}}},"#, index % 9)).collect();
    Arc::new(RegisterValue::new(version, format!("r{version} {text}").into_bytes()))
}

#[test]
fn updates_bring_each_node_from_its_version_to_the_newest() {
    let cache = UpdateCache::default();
    let all: Vec<Arc<RegisterValue>> =
        (1..8).map(|version| configuration(version, 500 + version as usize)).collect();
    all.iter().for_each(|configuration| cache.add(configuration));
    let newest = all.last().expect("one");
    assert!(cache.update_from(newest.revision()).is_none());
    // A node without a configuration, or with one that is no longer cached, gets the whole configuration.
    for (current, is_whole) in
        [(None, true), (Some(&all[0]), true), (Some(&all[4]), false), (Some(&all[5]), false)]
    {
        let revision = current.map_or(Revision::NONE, |current| current.revision());
        let update = cache.update_from(revision).expect("an update");
        assert_eq!(update.base == Revision::NONE, is_whole);
        assert!(is_whole || update.compressed.len() < 300, "{} bytes", update.compressed.len());
        assert_eq!(update.apply_to(current.map(|current| &**current)).as_ref(), Ok(&**newest));
    }
    let update = cache.update_from(all[5].revision()).expect("an update");
    assert_eq!(update.apply_to(Some(&all[4])), Err(UpdateError::BaseMismatch));
    let mut corrupt = (*update).clone();
    corrupt.revision.digest ^= 1;
    assert_eq!(corrupt.apply_to(Some(&all[5])), Err(UpdateError::Corrupt));
    corrupt.compressed.truncate(5);
    assert_eq!(corrupt.apply_to(Some(&all[5])), Err(UpdateError::Corrupt));
}
