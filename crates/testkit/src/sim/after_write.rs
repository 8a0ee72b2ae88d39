//! Transactions that the store commits but whose answers are lost, and scripted faults that follow them: crashes of
//! the controllers that sent them, and outages of the store.
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

/// A scripted outage: the store goes down for `ms`, `after_ms` after the next write of kind `what`, and its answers
/// are delayed by `slow_ms` until then.
pub(super) struct OutageAfterWrite {
    pub(super) what: Written,
    pub(super) slow_ms: u64,
    pub(super) after_ms: u64,
    pub(super) ms: u64,
}

/// Returns which of the writes that a fault can be scripted after the transaction contains, if any.
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
        self.schedule_outage_after(what);
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

    /// Schedules the outage of the store that waits for a write of this kind, if any.
    fn schedule_outage_after(&mut self, written: Option<Written>) {
        let position = self.outages_after_writes.iter().position(|o| written == Some(o.what));
        let Some(index) = position else { return };
        let OutageAfterWrite { what, slow_ms, after_ms, ms } =
            self.outages_after_writes.remove(index);
        self.observations.outages_after_write.push((self.now, what));
        self.windows.slow_store.add(slow_ms, self.now + after_ms);
        self.schedule(after_ms, Event::ScriptedFault(Fault::StoreOutage { ms }));
    }
}
