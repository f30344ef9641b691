//! One desk as this entry keeps it: its engines, and what the log is told.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use hollowsail_fleet::rendezvous;
use hollowsail_observe::events;
use hollowsail_platform::targets::Incarnation;
use hollowsail_routing::{Demand, DeskEngine, EngineDesk, Millis, PlacementEnd, PlacementKey};
use hollowsail_targets::Target;

use super::GROUP_ENGINES;
use crate::peers::PlacementStep;
use crate::target_group::TargetGroup;
use crate::traffic::Traffic;

/// Between two sweeps of a desk, in milliseconds.
const SWEEP_MS: Millis = 1_000;

/// A desk and when it was last swept.
pub struct Desk {
    name: String,
    desk: RefCell<EngineDesk<Incarnation>>,
    swept: Cell<Millis>,
}

impl Desk {
    /// A desk without engines.
    pub fn new(name: &str) -> Self {
        Desk {
            name: name.to_string(),
            desk: RefCell::default(),
            swept: Cell::new(0),
        }
    }

    /// Takes the usable targets of its group.
    pub fn take_targets(&self, cx: &Traffic) {
        if let Some((service, group)) = TargetGroup::parse(&self.name) {
            let targets = group.targets(&cx.targets_named(service), GROUP_ENGINES);
            self.desk
                .borrow_mut()
                .set_engines(cx.clock.now(), &desk_engines(&targets));
        }
    }

    /// Places a generation; `None` when there is no engine for it.
    pub fn place(
        &self,
        cx: &Traffic,
        demand: &Demand<Incarnation>,
    ) -> Option<(PlacementKey, Incarnation)> {
        let now = cx.clock.now();
        if now >= self.swept.get() + SWEEP_MS {
            self.swept.set(now);
            let ejected = self.desk.borrow_mut().sweep(now);
            self.log_ejected(cx, &ejected);
        }
        let affinity = |engine: &Incarnation| rendezvous::score(&demand.part, &engine.id);
        self.desk.borrow_mut().place(now, demand, affinity)
    }

    /// Takes what came of a placement.
    pub fn step(&self, cx: &Traffic, key: PlacementKey, step: PlacementStep) {
        let now = cx.clock.now();
        let ended = |end| self.desk.borrow_mut().ended(key, end, now);
        let ejected = match step {
            PlacementStep::PromptRead => {
                self.desk.borrow_mut().prompt_read(key, now);
                return;
            }
            PlacementStep::Whole => ended(PlacementEnd::Whole),
            PlacementStep::Failed => ended(PlacementEnd::Failed),
            PlacementStep::Left => ended(PlacementEnd::Left),
        };
        self.log_ejected(cx, &ejected);
    }

    fn log_ejected(&self, cx: &Traffic, ejected: &[Incarnation]) {
        for engine in ejected {
            let fields = format_args!("desk={} target={} why=answers", self.name, engine.id);
            cx.log.line(events::TARGET_EJECTED, fields);
        }
    }
}

fn desk_engines(targets: &[Rc<Target>]) -> Vec<DeskEngine<Incarnation>> {
    let engines = targets.iter().map(|target| DeskEngine {
        key: target.incarnation().clone(),
        slots: target.record.slots,
        hall: target.record.hall.clone(),
        cold: target.cold.get(),
    });
    engines.collect()
}
