//! Current and earlier settings. A class or tenant number is valid only with the settings that assigned it.

use daleturn::interface::Settings;
use daleturn::wire::{Names, renumber};
use std::cell::RefCell;
use std::rc::{Rc, Weak};

/// Settings in effect, with the names of their classes, tenants and zones.
#[derive(Debug)]
pub struct ActiveSettings {
    /// Settings for the balancer.
    pub settings: Settings,
    /// Names of classes, tenants and zones.
    pub names: Names,
    /// Number of settings applied since the start, including these.
    pub generation: u32,
    /// Digest for comparing the settings of two nodes or files.
    pub digest: u64,
}

/// The current settings. A holder of a class or tenant number also holds the settings that assigned it.
pub struct CurrentSettings {
    active: RefCell<Rc<ActiveSettings>>,
    previous: RefCell<Vec<Weak<ActiveSettings>>>,
}

impl CurrentSettings {
    /// Creates the first settings of a process.
    pub fn new(settings: Settings, names: Names, digest: u64) -> Rc<CurrentSettings> {
        let active = RefCell::new(Rc::new(ActiveSettings { settings, names, generation: 1, digest }));
        Rc::new(CurrentSettings { active, previous: RefCell::default() })
    }

    /// Returns the settings in effect.
    pub fn get(&self) -> Rc<ActiveSettings> {
        self.active.borrow().clone()
    }

    /// Replaces the settings. Numbers that are still held from earlier settings are not reassigned.
    pub fn replace(&self, settings: Settings, names: Names, digest: u64) -> Rc<ActiveSettings> {
        let mut previous = self.previous.borrow_mut();
        previous.retain(|old| old.strong_count() > 0);
        let mut active = self.active.borrow_mut();
        let old = (&active.settings, &active.names);
        let (settings, names) = renumber(old, (settings, names), !previous.is_empty());
        previous.push(Rc::downgrade(&active));
        *active = Rc::new(ActiveSettings {
            settings,
            names,
            generation: active.generation.saturating_add(1),
            digest,
        });
        active.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::{Value, json};

    fn running() -> Value {
        json!({
            "instances": 2,
            "classes": [
                {"name": "page", "semantics": "idempotent", "hardLimitMs": 900, "group": "all"},
                {"name": "pay", "semantics": "at_most_once", "hardLimitMs": 500},
            ],
            "rules": {"coldMs": 9000, "startCapacity": 0.3, "fallMultiple": 3, "fallMs": 2000}
        })
    }

    #[test]
    fn held_class_numbers_are_not_reassigned() {
        let take = |file: Value| daleturn::wire::settings(&file.to_string()).unwrap();
        let (settings, names) = take(running());
        let current = CurrentSettings::new(settings, names, 0);
        let holder = current.get();
        let page = holder.names.class("page");
        let before = holder.settings.classes[page].clone();
        let mut stricter = running();
        stricter["classes"][0]["semantics"] = "at_most_once".into();
        let mut gone = running();
        gone["classes"].as_array_mut().unwrap().remove(0);
        let mut numbers = Vec::new();
        for file in [&stricter, &gone, &stricter, &running(), &gone] {
            let (settings, names) = take(file.clone());
            let active = current.replace(settings, names, 0);
            let held = &active.settings.classes[page];
            assert_eq!((held.effect, held.deadline_ms), (before.effect, before.deadline_ms));
            assert_ne!(
                active.names.class("page"),
                page,
                "the number is still held for a changed or removed class"
            );
            assert_eq!(active.names.class("pay"), 1, "an unchanged class keeps its number");
            numbers.push(active.settings.classes.len());
        }
        // The old settings are no longer held, so their numbers are used again.
        drop(holder);
        for file in [&stricter, &gone, &stricter, &gone, &stricter, &gone] {
            let (settings, names) = take(file.clone());
            numbers.push(current.replace(settings, names, 0).settings.classes.len());
        }
        assert!(numbers.iter().max() <= Some(&6), "{numbers:?}");
    }
}
