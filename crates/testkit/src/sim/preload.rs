//! Records that are in the store at the beginning of a run.
use super::{Sim, NODES};
use crate::state::StoreModel;
use leaddeal_core::ids::{shard_of_job, JobId, Shard};
use leaddeal_core::io::StoreCall;
use leaddeal_core::keys;
use leaddeal_core::stored::TerminalState;
use leaddeal_wire::state::{Change, Transaction};
use leaddeal_wire::user::{job_id, Job, JobStatus};
use serde_json::{json, Value};

/// First identifier of the jobs whose records do not decode.
const FIRST_CORRUPT_JOB: u64 = 700_000;
/// First identifier of the preloaded open jobs.
const FIRST_OPEN_JOB: u64 = 800_000;
/// First identifier of the preloaded jobs in a terminal state.
const FIRST_TERMINAL_JOB: u64 = 900_000;
/// Number of items in a page of a store with preloaded jobs.
const LARGE_PAGE: usize = 300;

/// Returns values that decode as no kind of record.
fn undecodable_values() -> [Value; 6] {
    [
        json!(null),
        json!(7),
        json!("nonsense"),
        json!([1, "x"]),
        json!({"job": {"id": 5}, "at": "then", "a": -1}),
        json!({"a": 9, "p": [[1], "x", [u64::MAX, -4, "n-000001", 1, 0], null]}),
    ]
}

fn put(state: &mut StoreModel, key: String, value: Value) {
    let changes = vec![Change::Put { key, value, lease: None }];
    let transaction = Transaction { conditions: Vec::new(), changes };
    state.call(0, &StoreCall::Transaction(transaction));
}

impl Sim {
    /// Puts jobs into the store, as if earlier controllers had left them there.
    pub(super) fn preload(&mut self) {
        if self.plan.corrupt_records {
            self.preload_corrupt_records();
        }
        if self.plan.preloaded_open_jobs + self.plan.preloaded_terminal_jobs == 0 {
            return;
        }
        self.state.page = LARGE_PAGE;
        for number in 0..self.plan.preloaded_terminal_jobs {
            let id = JobId(FIRST_TERMINAL_JOB + number);
            let key = keys::terminal_state_key(shard_of_job(id, NODES), id);
            let done = TerminalState { status: JobStatus::Done, done: 1 };
            put(&mut self.state, key, done.encode());
        }
        for number in 0..self.plan.preloaded_open_jobs {
            let id = JobId(FIRST_OPEN_JOB + number);
            let job = Job { id: job_id(id.0), ..Self::unplaceable_job() };
            let value = json!({"job": job, "at": self.now});
            put(&mut self.state, keys::job_key(shard_of_job(id, NODES), id), value);
            self.rules.accepted.insert(job.id.clone());
            self.rules.jobs.insert(job.id.clone(), job);
        }
    }

    fn preload_corrupt_records(&mut self) {
        for shard in (0..NODES as u8).map(Shard) {
            for (i, value) in undecodable_values().into_iter().enumerate() {
                let id = JobId(FIRST_CORRUPT_JOB + i as u64);
                put(&mut self.state, keys::job_key(shard, id), value.clone());
                put(&mut self.state, keys::completion_key(shard, id, 1), value.clone());
                put(
                    &mut self.state,
                    keys::terminal_state_key(shard, JobId(id.0 + 50)),
                    value.clone(),
                );
                let key = format!("{}{i}", keys::decision_prefix(shard));
                put(&mut self.state, key, value);
            }
        }
    }
}
