//! Names for groups of a service's targets, each of which one entry owns.

use std::rc::Rc;

use hollowsail_fleet::rendezvous;

use crate::targets::Target;

/// Some of a service's targets.
pub struct Queue {
    pub name: String,
    at: usize,
    of: usize,
}

impl Queue {
    /// The group of a service with so many targets that a key belongs to, with
    /// about `size` targets in each.
    pub fn for_key(service: &str, targets: usize, size: usize, key: &str) -> Self {
        let of = targets.div_ceil(size).max(1);
        let at = (rendezvous::score(key, service) % of as u64) as usize;
        Queue {
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
        let queue = Queue {
            name: name.to_string(),
            at: at.parse().ok()?,
            of: of.parse().ok().filter(|of| *of > 0)?,
        };
        Some((service, queue))
    }

    /// Its share of a service's targets, the same at every entry.
    pub fn targets(&self, all: &[Rc<Target>]) -> Vec<Rc<Target>> {
        let mut sorted = all.to_vec();
        sorted.sort_by(|a, b| a.incarnation().cmp(b.incarnation()));
        let mine = sorted.into_iter().skip(self.at).step_by(self.of);
        mine.collect()
    }
}
