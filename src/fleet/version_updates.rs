//! Applies updates of the intended versions that the store reports.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use crate::{
    fleet::{KindUpdate, VersionTable},
    platform::{store::StoredObject, wire_server},
};

/// Applies an update to a table; returns `true` if it contains a newer version of a model.
pub(crate) fn apply_versions(table: &RefCell<VersionTable>, update: KindUpdate) -> bool {
    let (objects, max_age): (Vec<StoredObject>, Option<Duration>) = match update {
        KindUpdate::Listed { objects, max_age, .. } => (objects, max_age),
        KindUpdate::Changed(changes) => {
            (changes.into_iter().map(|it| it.object).collect(), Some(Duration::ZERO))
        }
    };
    let mut has_newer = false;
    for object in objects {
        match wire_server::decode_version(&object) {
            Ok(target) => {
                if table.borrow_mut().set(&target, max_age, Instant::now()) {
                    log::info!(
                        "versions: new intended version model={} version={}",
                        target.model,
                        target.version
                    );
                    has_newer = true;
                }
            }
            Err(err) => log::error!("versions: skipped an invalid version error=\"{err}\""),
        }
    }
    has_newer
}
