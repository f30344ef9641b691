//! Groups of a service's targets, each owned by one entry.
//!
//! [`crate::pools`] has a queue for each group of workers, [`crate::placement`] a scheduler
//! for each group of engines. A group's name contains its index, so that all entries map it to
//! the same targets. [`groups`] assigns targets and keys to groups so that a target that is
//! added or removed moves no other one.

use std::rc::Rc;

use hollowsail_fleet::groups;
use hollowsail_targets::Target;

/// A group of a service's targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetGroup {
    /// Index among the groups of its service.
    index: usize,
}

impl TargetGroup {
    /// The group for a key, in a service with `targets` targets and about `size` targets in
    /// each group.
    pub fn for_key(targets: usize, size: usize, key: &str) -> Self {
        TargetGroup {
            index: groups::group_of(key, groups::count(targets, size)),
        }
    }

    /// Name of the group, with that of its service.
    pub fn name(&self, service: &str) -> String {
        format!("{service}/{}", self.index)
    }

    /// Parses a name into service and group; `None` when it is not the name of a group.
    pub fn parse(name: &str) -> Option<(&str, Self)> {
        let (service, index) = name.rsplit_once('/')?;
        let index = index.parse().ok()?;
        Some((service, TargetGroup { index }))
    }

    /// The group's targets among all targets of its service; equal at entries that know the
    /// same targets.
    pub fn targets(&self, all: &[Rc<Target>], size: usize) -> Vec<Rc<Target>> {
        let group_count = groups::count(all.len(), size);
        let members = all
            .iter()
            .filter(|target| groups::group_of(&target.incarnation().id, group_count) == self.index);
        members.cloned().collect()
    }
}
