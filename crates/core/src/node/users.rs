//! Users: submissions, questions, cancellations, here or by a sibling.
use super::{Call, Node, CALL_MS, CANCEL_CALL_MS, MOST_CALLS};
use crate::budget::WriteClass;
use crate::context::{known, queued, Context, Lookup, LookupPurpose, Operation};
use crate::guards::{holds, Guard};
use crate::ids::{shard_of_job, JobId};
use crate::io::{Effect, Effects, RequestId, StoreCall, StoreResult};
use crate::jobs::wire_shape;
use crate::keys;
use crate::names::Resources;
use crate::stored::JobRecord;
use leaddeal_wire::mesh::NodeMessage;
use leaddeal_wire::state::{Change, Condition, Transaction};
use leaddeal_wire::user;

impl Node {
    pub(super) fn submit(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        id: Option<JobId>,
        job: Result<Box<user::Job>, user::BadJob>,
    ) {
        let job = match (job, id) {
            (Ok(j), Some(_)) => j,
            (Ok(_), None) | (Err(_), None) => {
                let mut c = ctx!(self, effects);
                c.reply_error(req, 400, "malformed", None);
                return;
            }
            (Err(_), Some(id)) => return self.lookup(effects, req, id, LookupPurpose::Wrong(400)),
        };
        let id = id.unwrap_or_default();
        if self.names.catalog.is_empty() {
            let mut c = ctx!(self, effects);
            return c.reply_later(req, 503, 1);
        }
        if !self.can_run(&job) {
            return self.lookup(effects, req, id, LookupPurpose::Wrong(422));
        }
        if self.ops.open.len() > MOST_CALLS || self.calls.len() > MOST_CALLS {
            let mut c = ctx!(self, effects);
            return c.reply_later(req, 503, 2);
        }
        if self.budget.room(WriteClass::Submission) == 0 {
            // Known jobs' retries, too, are told later: to look them up is a request as well.
            let after_s = self.budget.acceptance_after_s();
            let mut c = ctx!(self, effects);
            return c.reply_later(req, 503, after_s);
        }
        let shard = shard_of_job(id, self.view.len());
        let value = JobRecord { accepted_at_ms: Some(self.time_ms), job: *job }.encode();
        let mut conditions = vec![Condition { key: keys::job_key(shard, id), version: 0 }];
        if holds(Guard::SubmittedOnce) {
            conditions.push(Condition { key: keys::final_key(shard, id), version: 0 });
        }
        let txn = Transaction {
            conditions,
            changes: vec![Change::Put {
                key: keys::job_key(shard, id),
                value: value.clone(),
                lease: None,
            }],
        };
        self.budget.spend(WriteClass::Submission, 1);
        let mut c = ctx!(self, effects);
        c.store(Operation::Submit { req, id, value }, StoreCall::Transaction(txn));
    }

    pub(super) fn can_run(&self, j: &user::Job) -> bool {
        let Some(team) = self.config.teams.iter().find(|t| t.name == j.team) else {
            return false;
        };
        let shape = wire_shape(j);
        let need = Resources::of(&shape);
        let fits = self.names.catalog.iter().enumerate().any(|(i, t)| {
            let idx = crate::ids::TypeIdx(i as u8);
            self.names.allows(&shape, idx, false)
                && self.names.room_of_type(idx).fits(need) > 0
                && j.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        });
        let n = if j.kind == user::Kind::Array { 1.0 } else { f64::from(j.tasks) };
        let within = |max: f64, v: f64| max == 0.0 || v * n <= max + 1e-6;
        fits && within(team.cpus_max, j.cpus) && within(team.gpus_max, j.gpus)
    }

    pub(super) fn lookup(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        id: JobId,
        ask: LookupPurpose,
    ) {
        let now = effects.now;
        let valid = self.lease.valid(now) || !holds(Guard::DoubtTells);
        let shard = shard_of_job(id, self.view.len());
        let view = self.view[shard.0 as usize].owner;
        let busy = self.ops.open.len() > MOST_CALLS || self.calls.len() > MOST_CALLS;
        let mut c = ctx!(self, effects);
        if let Some(o) =
            self.owned[shard.0 as usize].as_mut().filter(|o| valid && o.coordinator.ready())
        {
            if ask == LookupPurpose::Cancel {
                if o.coordinator.cancel(&mut c, req, id) {
                    return;
                }
            } else if let Some(s) = o.coordinator.state(id) {
                return c.reply_state(req, 200, s);
            }
        } else if let Some(o) = view.filter(|o| o.node != self.me && c.reachable(shard) && !busy) {
            self.next_call += 1;
            let call = self.next_call;
            let to = self.nodes[o.node.0 as usize].clone();
            let msg =
                NodeMessage::QueryJob { call, job: id.0, cancel: ask == LookupPurpose::Cancel };
            effects.list.push(Effect::Mesh { to, msg });
            let until = now + if ask == LookupPurpose::Cancel { CANCEL_CALL_MS } else { CALL_MS };
            self.calls.insert(call, Call { req, id, ask, until });
            return;
        }
        self.read_job(effects, req, id, ask);
    }

    /// Reads the store: the job first, then the final state. A job's final state is written in
    /// the same transaction that deletes the job, so one of the two is found if it is known.
    pub(super) fn read_job(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        id: JobId,
        ask: LookupPurpose,
    ) {
        let busy = self.ops.open.len() > MOST_CALLS;
        let mut c = ctx!(self, effects);
        if busy {
            return c.reply_later(req, 503, 2);
        }
        if holds(Guard::KeyBeforeFinal) {
            c.read_key(req, id, Lookup(ask));
        } else {
            c.read_final(req, id, Lookup(ask));
        }
    }

    pub(super) fn submitted(
        &mut self,
        effects: &mut Effects,
        req: RequestId,
        id: JobId,
        value: &serde_json::Value,
        result: StoreResult,
    ) {
        match result {
            StoreResult::Committed(rev) => {
                let shard = shard_of_job(id, self.view.len());
                let mut c = ctx!(self, effects);
                if let Some(o) = &mut self.owned[shard.0 as usize] {
                    // While it loads, the list brings it. And if the list is newer than the
                    // creation but lacks the job, then it is over already: this answer is a
                    // late one. (Found by the simulator: a done job went back to running.)
                    let newer =
                        rev > o.coordinator.jobs_loaded_revision || !holds(Guard::LoadedFrom);
                    if o.coordinator.ready() && newer {
                        o.coordinator.job_created(&mut c, &keys::job_key(shard, id), value);
                    }
                }
                c.reply(req, known(queued(id), true));
                self.wake |= c.wake;
            }
            StoreResult::Conflict(_) => self.lookup(effects, req, id, LookupPurpose::Known),
            StoreResult::Unknown if !holds(Guard::AcceptedDurable) => {
                let mut c = ctx!(self, effects);
                c.reply(req, known(queued(id), true));
            }
            _ => {
                let mut c = ctx!(self, effects);
                c.reply_later(req, 503, 1);
            }
        }
    }
}
