//! Decodes the objects by which operators evacuate availability zones.

use crate::{ids::ZoneId, platform::store::StoredObject};

/// The kind of the objects.
pub const EVACUATION_KIND: &str = "evacuations";

/// Decodes the evacuated zone. The object's name is the zone, whatever the content.
pub fn decode_zone(object: &StoredObject) -> ZoneId {
    object.metadata.name.clone()
}
