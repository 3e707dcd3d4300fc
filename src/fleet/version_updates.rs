//! Applies updates of the intended versions that the store reports.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use crate::{
    clock,
    fleet::{KindUpdate, VersionTable},
    platform::{
        skipped_objects::decode_or_skip,
        store::StoredObject,
        wire_server::{self, VERSION_KIND},
    },
    routing::TargetVersion,
};

/// Applies an update to a table; returns `true` if it contains a newer version of a model.
pub(crate) fn apply_versions(table: &RefCell<VersionTable>, update: KindUpdate) -> bool {
    let (objects, max_age): (Vec<StoredObject>, Option<Duration>) = match update {
        KindUpdate::Listed { objects, max_age, .. } => (objects, max_age),
        KindUpdate::Changed { changes, max_age } => {
            (changes.into_iter().map(|it| it.object).collect(), Some(max_age))
        }
    };
    let mut has_newer = false;
    for object in objects {
        let target = decode_or_skip(VERSION_KIND, &object, wire_server::decode_version);
        let Some(target) = target else { continue };
        let now = clock::now();
        if table.borrow_mut().set(&target, max_age, now) {
            log_new_version(&table.borrow(), &target, max_age, now);
            has_newer = true;
        }
    }
    has_newer
}

/// Logs a new version with its assumed age, which decides how long the version before it may serve.
fn log_new_version(
    table: &VersionTable,
    target: &TargetVersion,
    max_age: Option<Duration>,
    now: Instant,
) {
    let age_ms = max_age.map_or(-1, |it| it.as_millis() as i64);
    let required = table.required_from(&target.model, target.version);
    let required_in = required.map_or(Duration::ZERO, |it| it.saturating_duration_since(now));
    log::info!(
        "versions: new intended version model={} version={} max_age_ms={age_ms} required_in_ms={}",
        target.model,
        target.version,
        required_in.as_millis()
    );
}
