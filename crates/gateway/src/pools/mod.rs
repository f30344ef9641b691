//! The stage services as this entry uses them: a [`Batcher`] for each.

mod batcher;
mod call;

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use hollowsail_platform::deployment::{Deployment, ServiceKey};

use crate::traffic::Traffic;

pub use batcher::{Batcher, HeldResult, PieceEnd};

/// Batchers by the service's name: positions of services change with versions
/// of the configuration, names don't.
#[derive(Default)]
pub struct Pools {
    by_name: RefCell<HashMap<String, Rc<Batcher>>>,
}

impl Pools {
    /// The batcher of a stage service; `None` when it serves no stages.
    pub fn of(
        &self,
        cx: &Rc<Traffic>,
        deployment: &Deployment,
        service: ServiceKey,
    ) -> Option<Rc<Batcher>> {
        let config = deployment.service(service);
        let pool = config.stage_pool.as_ref()?;
        let mut by_name = self.by_name.borrow_mut();
        if let Some(known) = by_name.get(&config.name) {
            return Some(known.clone());
        }
        let made = Batcher::new(cx, &config.name, pool);
        made.take_targets(cx.targets().of(service));
        by_name.insert(config.name.clone(), made.clone());
        Some(made)
    }

    /// Takes the rules and targets of a new view over.
    pub fn take_targets(&self, cx: &Rc<Traffic>) {
        let Some(deployment) = cx.deployment_in_use() else {
            return;
        };
        for (name, batcher) in self.by_name.borrow().iter() {
            let key = deployment.service_named(name);
            let targets = cx.targets();
            let Some(key) = key else {
                batcher.take_targets(&[]);
                continue;
            };
            if let Some(pool) = &deployment.service(key).stage_pool {
                batcher.set_rules(pool);
            }
            batcher.take_targets(targets.of(key));
        }
    }
}
