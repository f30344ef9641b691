//! Groups of a service's targets, each of which one entry owns.
//!
//! A group's name says which part of the service's targets it is, so that all
//! entries come to the same targets by it: [`crate::pools`] has a queue for each
//! group of workers, [`crate::placement`] a desk for each group of engines.

use std::rc::Rc;

use hollowsail_fleet::rendezvous;

use crate::targets::Target;

/// Some of a service's targets.
pub struct TargetGroup {
    pub name: String,
    /// Its position among the groups of its service.
    at: usize,
    /// Groups that its service has.
    of: usize,
}

impl TargetGroup {
    /// The group of a service with so many targets that a key belongs to, with
    /// about `size` targets in each.
    pub fn for_key(service: &str, targets: usize, size: usize, key: &str) -> Self {
        let of = targets.div_ceil(size).max(1);
        let at = (rendezvous::score(key, service) % of as u64) as usize;
        TargetGroup {
            name: format!("{service}/{at}.{of}"),
            at,
            of,
        }
    }

    /// Reads a name into the service and the group; `None` when it is none of
    /// ours.
    pub fn parse(name: &str) -> Option<(&str, Self)> {
        let (service, place) = name.rsplit_once('/')?;
        let (at, of) = place.split_once('.')?;
        let group = TargetGroup {
            name: name.to_string(),
            at: at.parse().ok()?,
            of: of.parse().ok().filter(|of| *of > 0)?,
        };
        Some((service, group))
    }

    /// Its share of a service's targets, the same at every entry, and about as
    /// many of each data hall.
    pub fn targets(&self, all: &[Rc<Target>]) -> Vec<Rc<Target>> {
        let mut sorted = all.to_vec();
        let place = |target: &Target| (target.record.hall.clone(), target.incarnation().clone());
        sorted.sort_by_cached_key(|target| place(target));
        let mine = sorted.into_iter().skip(self.at).step_by(self.of);
        mine.collect()
    }
}
