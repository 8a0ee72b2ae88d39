//! Checks, once all faults are over, that each shard is served: a controller acts for it, and the owner of its
//! machines knows what each task there takes.
use super::{Sim, NODES};
use crate::broken_rule::{BrokenRule, Rule};
use leaddeal_core::ids::Shard;

/// Time after which a shard that no controller acts for, or whose owner does not know what a task takes, counts as
/// not served. A lease of a controller takes 4 s, a home node waits for up to 20 s before it reclaims its shard, and
/// an accepted job may wait for 90 s.
const UNSERVED_AFTER_MS: u64 = 30_000;

/// Since when something is missing; `None` while it is not.
#[derive(Clone, Copy, Default)]
struct MissingSince(Option<u64>);

impl MissingSince {
    /// Updates the state, and returns whether it has been missing for too long.
    fn update(&mut self, now: u64, is_missing: bool) -> bool {
        if !is_missing {
            self.0 = None;
            return false;
        }
        let since = *self.0.get_or_insert(now);
        now > since + UNSERVED_AFTER_MS
    }
}

/// What is missing, by shard or by controller.
#[derive(Default)]
pub(super) struct ServiceCheck {
    owners: [MissingSince; NODES],
    shapes: [MissingSince; NODES],
}

impl Sim {
    /// Checks that each shard is served. Must be called only once all faults are over.
    pub(super) fn check_service(&mut self) -> Result<(), BrokenRule> {
        for shard in 0..NODES {
            let is_missing = !self.is_acted_for(Shard(shard as u8));
            if self.service_check.owners[shard].update(self.now, is_missing) {
                return Err(Rule::Unserved.broken(format!("nobody acts for shard {shard}")));
            }
        }
        for node in 0..NODES {
            let core = self.controllers[node].core.as_ref();
            let unknown = core.map_or(0, leaddeal_core::Node::tasks_of_unknown_shape);
            if self.service_check.shapes[node].update(self.now, unknown > 0) {
                return Err(Rule::Unserved
                    .broken(format!("n-{node} does not know what {unknown} tasks take")));
            }
        }
        Ok(())
    }

    fn is_acted_for(&self, shard: Shard) -> bool {
        let cores = self.controllers.iter().filter_map(|controller| controller.core.as_ref());
        cores.flat_map(leaddeal_core::Node::owned_shards).any(|(owned, _)| owned == shard)
    }
}
