//! Transactions that the store commits but whose answers are lost, and scripted crashes of the controllers that
//! sent them.
use super::event::Event;
use super::store::STORE_TIMEOUT_MS;
use super::Sim;
use crate::script::{Fault, Written};
use leaddeal_core::io::{StoreCall, StoreResult};
use leaddeal_core::keys;
use leaddeal_wire::state::{Change, Transaction};

/// A scripted crash: the next controller that commits a write of kind `what` loses the answer, crashes `after_ms`
/// later and restarts `back_ms` after the crash.
pub(super) struct CrashAfterWrite {
    pub(super) what: Written,
    pub(super) after_ms: u64,
    pub(super) back_ms: u64,
}

/// Returns which of the writes that a crash can be scripted after the transaction contains, if any.
fn scriptable_write(transaction: &Transaction) -> Option<Written> {
    transaction.changes.iter().find_map(|change| match change {
        Change::Put { key, .. } if key.starts_with(keys::SHARD_PREFIX) => {
            Some(Written::Acquisition)
        }
        Change::Delete { key } if key.starts_with(keys::SHARD_PREFIX) => Some(Written::Release),
        Change::Put { key, .. } if key.starts_with("d/") => Some(Written::Decision),
        Change::Put { key, .. } if key.starts_with("f/") => Some(Written::TerminalState),
        Change::Put { .. } | Change::Delete { .. } => None,
    })
}

impl Sim {
    /// Returns whether the answer to a call that was just executed is lost. If a scripted crash waits for this write,
    /// schedules the crash of the controller that sent it.
    pub(super) fn draw_answer_loss(
        &mut self,
        node: usize,
        call: &StoreCall,
        result: &StoreResult,
    ) -> bool {
        let slow_ms = self.windows.slow_store.strongest(self.now);
        let is_too_late = slow_ms.is_some_and(|ms| ms >= STORE_TIMEOUT_MS);
        let (StoreCall::Transaction(transaction), StoreResult::Committed(_)) = (call, result)
        else {
            return is_too_late;
        };
        let what = scriptable_write(transaction);
        let position = self.crashes_after_writes.iter().position(|crash| what == Some(crash.what));
        if let Some(index) = position {
            let CrashAfterWrite { what, after_ms, back_ms } =
                self.crashes_after_writes.remove(index);
            self.observations.crashes_after_write.push((self.now, what));
            let crash = Fault::Crash { nodes: vec![node], back_ms };
            self.schedule(after_ms, Event::ScriptedFault(crash));
        }
        let is_lost =
            position.is_some() || self.windows.lost_store_answers.draw(self.now, &mut self.rng);
        self.observations.lost_answers += u64::from(is_lost);
        is_too_late || is_lost
    }
}
