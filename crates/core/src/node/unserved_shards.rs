//! Logs the shards of which this process is the recorded owner, but for which it does not act.
use super::Node;
use crate::ids::Shard;
use crate::io::{Effects, LogLevel};
use crate::shard::Owner;

/// Interval at which a shard that stays unserved is logged, in ms. The first line comes after it as well.
const UNSERVED_LOG_INTERVAL_MS: u64 = 5000;

impl Node {
    /// Logs the shards that this process has not served for long although it is their recorded owner.
    pub(super) fn log_unserved_shards(&mut self, effects: &mut Effects) {
        for shard in self.shared.shards() {
            let unserved =
                self.shared.owner(shard).filter(|owner| self.leaves_unserved(shard, *owner));
            let next_log_at = &mut self.statistics.next_unserved_log_at[shard.0 as usize];
            let Some(owner) = unserved else {
                *next_log_at = None;
                continue;
            };
            let due_at = *next_log_at.get_or_insert(effects.now + UNSERVED_LOG_INTERVAL_MS);
            if effects.now >= due_at {
                *next_log_at = Some(effects.now + UNSERVED_LOG_INTERVAL_MS);
                self.log_unserved_shard(effects, shard, owner);
            }
        }
    }

    /// Whether this process is the owner but does not act for the shard under the owner's epoch.
    fn leaves_unserved(&self, shard: Shard, owner: Owner) -> bool {
        self.is_this_process(owner) && self.active_epoch(shard) != Some(owner.epoch)
    }

    fn log_unserved_shard(&self, effects: &mut Effects, shard: Shard, owner: Owner) {
        let lease_valid = self.shared.lease.is_valid(effects.now);
        let relinquished = owner.epoch <= self.acquisitions[shard.0 as usize].relinquished_epoch;
        effects.log(LogLevel::Info, "shard_unserved", || {
            format!(
                "shard={} epoch={} lease_valid={lease_valid} relinquished={relinquished}",
                shard.0, owner.epoch.0
            )
        });
    }
}
