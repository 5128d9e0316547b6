//! The settings that hold, and those that were: whoever holds a class's number holds what it is from.

use daleturn::interface::Settings;
use daleturn::wire::{Names, renumber};
use std::cell::RefCell;
use std::rc::{Rc, Weak};

/// The settings that hold, with the names of their numbers.
#[derive(Debug)]
pub struct Rules {
    /// What the decisions go by.
    pub settings: Settings,
    /// Names of classes, tenants and zones.
    pub names: Names,
    /// How many were taken since the start, these included.
    pub taken: u32,
    /// Tells whether two nodes, or two files, have the same settings.
    pub digest: u64,
}

/// The rules of now. Whoever holds a class's or tenant's number holds the rules that it is from as well.
pub struct Current {
    rules: RefCell<Rc<Rules>>,
    past: RefCell<Vec<Weak<Rules>>>,
}

impl Current {
    /// The first ones.
    pub fn new(settings: Settings, names: Names, digest: u64) -> Rc<Current> {
        let rules = RefCell::new(Rc::new(Rules { settings, names, taken: 1, digest }));
        Rc::new(Current { rules, past: RefCell::default() })
    }

    /// Those of now.
    pub fn get(&self) -> Rc<Rules> {
        self.rules.borrow().clone()
    }

    /// Puts new ones in their place, with numbers that no holder of earlier ones takes for others.
    pub fn succeed(&self, settings: Settings, names: Names, digest: u64) -> Rc<Rules> {
        let mut past = self.past.borrow_mut();
        past.retain(|rules| rules.strong_count() > 0);
        let mut rules = self.rules.borrow_mut();
        let old = (&rules.settings, &rules.names);
        let (settings, names) = renumber(old, (settings, names), !past.is_empty());
        past.push(Rc::downgrade(&rules));
        *rules = Rc::new(Rules { settings, names, taken: rules.taken.saturating_add(1), digest });
        rules.clone()
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
    fn a_class_number_that_is_held_never_comes_to_mean_another_class() {
        let take = |file: Value| daleturn::wire::settings(&file.to_string()).unwrap();
        let (settings, names) = take(running());
        let current = Current::new(settings, names, 0);
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
            let rules = current.succeed(settings, names, 0);
            let held = &rules.settings.classes[page];
            assert_eq!((held.effect, held.deadline_ms), (before.effect, before.deadline_ms));
            assert_ne!(
                rules.names.class("page"),
                page,
                "the number is held, by a class that changed or went"
            );
            assert_eq!(rules.names.class("pay"), 1, "what is the same keeps its number");
            numbers.push(rules.settings.classes.len());
        }
        // Nobody holds the old ones any more: their numbers are used again.
        drop(holder);
        for file in [&stricter, &gone, &stricter, &gone, &stricter, &gone] {
            let (settings, names) = take(file.clone());
            numbers.push(current.succeed(settings, names, 0).settings.classes.len());
        }
        assert!(numbers.iter().max() <= Some(&6), "{numbers:?}");
    }
}
