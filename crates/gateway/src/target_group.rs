//! Groups of a service's targets, each of which one entry owns.
//!
//! A group's name says which of the service's groups it is, so that all entries come to
//! the same targets by it: [`crate::pools`] has a queue for each group of workers,
//! [`crate::placement`] a desk for each group of engines. [`groups`] gives each
//! target its group, so that a target that comes or goes moves no other one, and spreads
//! keys over the groups in the same way.

use std::rc::Rc;

use hollowsail_fleet::groups;
use hollowsail_targets::Target;

/// Some of a service's targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetGroup {
    /// Its number among the groups of its service.
    at: usize,
}

impl TargetGroup {
    /// The group of a service with so many targets that a key belongs to, with about
    /// `size` targets in each.
    pub fn for_key(targets: usize, size: usize, key: &str) -> Self {
        TargetGroup {
            at: groups::place_of(key, groups::count(targets, size)),
        }
    }

    /// Its name, with that of its service.
    pub fn name(&self, service: &str) -> String {
        format!("{service}/{}", self.at)
    }

    /// Reads a name into the service and the group; `None` when it is none of
    /// ours.
    pub fn parse(name: &str) -> Option<(&str, Self)> {
        let (service, at) = name.rsplit_once('/')?;
        let at = at.parse().ok()?;
        Some((service, TargetGroup { at }))
    }

    /// Its share of a service's targets, the same at every entry that knows the same
    /// targets.
    pub fn targets(&self, all: &[Rc<Target>], size: usize) -> Vec<Rc<Target>> {
        let of = groups::count(all.len(), size);
        let mine = all
            .iter()
            .filter(|target| groups::place_of(&target.incarnation().id, of) == self.at);
        mine.cloned().collect()
    }
}
