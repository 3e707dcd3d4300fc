//! Takes what the store tells of named versions.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use crate::{
    fleet::{KindUpdate, VersionTable},
    platform::{store::StoredObject, wire_server},
};

/// Enters an update into a table; says whether a newer version was named.
pub(crate) fn take_versions(table: &RefCell<VersionTable>, update: KindUpdate) -> bool {
    let (objects, max_age): (Vec<StoredObject>, Option<Duration>) = match update {
        KindUpdate::Listed { objects, max_age, .. } => (objects, max_age),
        KindUpdate::Changed(changes) => {
            (changes.into_iter().map(|it| it.object).collect(), Some(Duration::ZERO))
        }
    };
    let mut is_newer = false;
    for object in objects {
        match wire_server::decode_version(&object) {
            Ok(target) => {
                if table.borrow_mut().set(&target, max_age, Instant::now()) {
                    log::info!("versions: named model={} version={}", target.model, target.version);
                    is_newer = true;
                }
            }
            Err(err) => log::error!("versions: not readable error=\"{err}\""),
        }
    }
    is_newer
}
