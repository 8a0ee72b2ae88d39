//! Transactions that are carried out at once and get no answer, and controllers that end just then.
use super::*;

/// Whoever does this next ends so much later, and comes back.
pub(super) struct Ending {
    pub(super) what: Written,
    pub(super) after_ms: u64,
    pub(super) back_ms: u64,
}

fn written(t: &Transaction) -> Option<Written> {
    t.changes.iter().find_map(|c| match c {
        Change::Put { key, .. } if key.starts_with(keys::SHARD_PREFIX) => {
            Some(Written::Acquisition)
        }
        Change::Delete { key } if key.starts_with(keys::SHARD_PREFIX) => Some(Written::Release),
        Change::Put { key, .. } if key.starts_with("d/") => Some(Written::Decision),
        Change::Put { key, .. } if key.starts_with("f/") => Some(Written::Final),
        Change::Put { .. } | Change::Delete { .. } => None,
    })
}

impl Sim {
    /// Whether the answer to what was just carried out is lost.
    pub(super) fn answer_lost(&mut self, n: usize, call: &StoreCall, result: &StoreResult) -> bool {
        // Controllers wait for an answer no longer than that.
        let late = self.troubles.slow_store.now(self.now).is_some_and(|ms| ms >= 2000);
        let (StoreCall::Transaction(t), StoreResult::Committed(_)) = (call, result) else {
            return late;
        };
        let what = written(t);
        let ending = self.endings.iter().position(|e| what == Some(e.what));
        if let Some(i) = ending {
            let Ending { what, after_ms, back_ms } = self.endings.remove(i);
            self.marks.ended_on.push((self.now, what));
            self.at(after_ms, Ev::Scripted(Fault::Crash { nodes: vec![n], back_ms }));
        }
        let lost = ending.is_some() || self.troubles.lost_answers.strike(self.now, &mut self.rng);
        self.marks.lost_answers += u64::from(lost);
        late || lost
    }
}
