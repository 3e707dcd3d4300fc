//! Timing and faults of a stand-in, which can be changed while it runs.

use std::sync::Mutex;

use serde::{de::DeserializeOwned, Serialize};
use serde_json::Value;

/// A shared value whose fields can be changed one by one with JSON.
///
/// Holds the timing and the injected faults of a stand-in.
#[derive(Debug, Default)]
pub(crate) struct Behaviour<T>(Mutex<T>);

impl<T: Clone + Serialize + DeserializeOwned> Behaviour<T> {
    pub(crate) fn get(&self) -> T {
        self.0.lock().unwrap().clone()
    }

    pub(crate) fn set(&self, value: T) {
        *self.0.lock().unwrap() = value;
    }

    /// Changes the value in place and returns the result of `change`.
    pub(crate) fn update<R>(&self, change: impl FnOnce(&mut T) -> R) -> R {
        change(&mut self.0.lock().unwrap())
    }

    /// Replaces the fields listed in `json` and keeps the others.
    pub(crate) fn merge(&self, json: &[u8]) -> Result<(), serde_json::Error> {
        let patch: serde_json::Map<String, Value> = serde_json::from_slice(json)?;
        let mut current = self.0.lock().unwrap();
        let mut fields = serde_json::to_value(&*current)?;
        for (key, value) in patch {
            fields[key] = value;
        }
        *current = serde_json::from_value(fields)?;
        Ok(())
    }
}

/// Counts down the `remaining` occurrences of a fault; returns `true` if it is to be injected now.
pub(crate) fn consume_fault(remaining: &mut u32) -> bool {
    let is_active = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    is_active
}
