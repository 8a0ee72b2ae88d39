//! Transactions that are carried out at once and get no answer, and controllers that end just then.
use super::event::Event;
use super::store::STORE_TIMEOUT_MS;
use super::Sim;
use crate::script::{Fault, Written};
use leaddeal_core::io::{StoreCall, StoreResult};
use leaddeal_core::keys;
use leaddeal_wire::state::{Change, Transaction};

/// The next controller that writes this ends later, and comes back.
pub(super) struct CrashAfterWrite {
    pub(super) what: Written,
    pub(super) after_ms: u64,
    pub(super) back_ms: u64,
}

/// What a transaction writes, if a crash can be scripted after it.
fn written(transaction: &Transaction) -> Option<Written> {
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
    /// Whether the answer to what was just carried out is lost; the controller that sent it may end for it.
    pub(super) fn is_answer_lost(
        &mut self,
        node: usize,
        call: &StoreCall,
        result: &StoreResult,
    ) -> bool {
        let slow_ms = self.windows.slow_store.strongest(self.now);
        let too_late = slow_ms.is_some_and(|ms| ms >= STORE_TIMEOUT_MS);
        let (StoreCall::Transaction(transaction), StoreResult::Committed(_)) = (call, result)
        else {
            return too_late;
        };
        let what = written(transaction);
        let position = self.crashes_after_writes.iter().position(|crash| what == Some(crash.what));
        if let Some(index) = position {
            let CrashAfterWrite { what, after_ms, back_ms } =
                self.crashes_after_writes.remove(index);
            self.observations.ended_on.push((self.now, what));
            let crash = Fault::Crash { nodes: vec![node], back_ms };
            self.schedule(after_ms, Event::ScriptedFault(crash));
        }
        let lost =
            position.is_some() || self.windows.lost_store_answers.draw(self.now, &mut self.rng);
        self.observations.lost_answers += u64::from(lost);
        too_late || lost
    }
}
