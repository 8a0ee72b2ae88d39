//! Calls to siblings that await an answer: job queries and relayed heartbeats.
use super::{Node, MAX_OPEN_QUERIES, MAX_OPEN_RELAYS};
use crate::context::{JobLookup, LookupPurpose, RelayedRequest};
use crate::guards::{is_enforced, Guard};
use crate::ids::{shard_of_job, JobId, NodeIdx, Timestamp};
use crate::io::{Effect, Effects, RequestId, WorkerReply};
use leaddeal_wire::mesh::{JobAnswer, NodeMessage};
use leaddeal_wire::worker::{HeartbeatResponse, WorkerHeartbeat};
use std::collections::BTreeMap;

/// Timeout of a job query, or of a relayed heartbeat, in ms.
const CALL_TIMEOUT_MS: u64 = 700;
/// Timeout of a cancellation in ms. It is longer because the job's owner writes the cancellation to
/// the store before it answers.
const CANCELLATION_TIMEOUT_MS: u64 = 2500;
/// Set in the request numbers of siblings' queries, which keeps them distinct from the gateway's
/// request numbers.
const SIBLING_REQUEST_BIT: RequestId = 1 << 62;
/// Number of low bits of a call's number that count the calls of a process; the bits above hold the
/// process's `boot`.
const BOOT_SHIFT: u32 = 20;

/// A job query sent to the owner of the job's shard.
#[derive(Debug)]
struct PendingJobQuery {
    lookup: JobLookup,
    timeout_at: Timestamp,
}

/// A worker's heartbeat that was relayed to the owner of its machine's shard.
#[derive(Debug)]
struct PendingRelay {
    /// The worker's request.
    req: RequestId,
    timeout_at: Timestamp,
}

/// Calls to siblings that await an answer, by number.
///
/// Invariant: a process never uses a number twice, and starts at another number than the node's
/// earlier processes, so a late answer is never matched to another call.
#[derive(Debug)]
pub(super) struct SiblingCalls {
    last_number: u64,
    job_queries: BTreeMap<u64, PendingJobQuery>,
    relays: BTreeMap<u64, PendingRelay>,
}

impl SiblingCalls {
    pub(super) fn new(boot: u64) -> SiblingCalls {
        SiblingCalls {
            last_number: boot << BOOT_SHIFT,
            job_queries: BTreeMap::new(),
            relays: BTreeMap::new(),
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub(super) fn too_many_queries(&self) -> bool {
        self.job_queries.len() > MAX_OPEN_QUERIES
    }

    pub(super) fn can_relay(&self) -> bool {
        self.relays.len() < MAX_OPEN_RELAYS
    }
}

impl Node {
    /// Sends a job query to the owner of the job's shard.
    pub(super) fn query_job(&mut self, effects: &mut Effects, owner: NodeIdx, lookup: JobLookup) {
        let call = self.calls.next_number();
        let cancel = lookup.purpose == LookupPurpose::Cancellation;
        let to = self.shared.node_name(owner);
        let msg = NodeMessage::QueryJob { call, job: lookup.id.0, cancel };
        effects.push(Effect::Mesh { to, msg });
        let timeout_ms = if cancel { CANCELLATION_TIMEOUT_MS } else { CALL_TIMEOUT_MS };
        let timeout_at = effects.now + timeout_ms;
        self.calls.job_queries.insert(call, PendingJobQuery { lookup, timeout_at });
    }

    /// Handles the queries that were not answered in time.
    pub(super) fn expire_job_queries(&mut self, effects: &mut Effects) {
        let now = effects.now;
        let queries = self.calls.job_queries.iter();
        let expired = queries.filter(|(_, query)| now >= query.timeout_at).map(|(call, _)| *call);
        for call in expired.collect::<Vec<u64>>() {
            let Some(query) = self.calls.job_queries.remove(&call) else { continue };
            self.answer_without_owner(effects, query.lookup);
        }
    }

    /// Answers a lookup whose job's owner did not answer, or refused. The store can answer a question
    /// about the job's state, but only the owner can cancel the job.
    fn answer_without_owner(&mut self, effects: &mut Effects, lookup: JobLookup) {
        if lookup.purpose == LookupPurpose::Cancellation {
            self.reply_later(effects, lookup.req, 1);
        } else {
            self.read_job(effects, lookup);
        }
    }

    /// Handles a sibling's answer to a job query. An answer after the timeout is ignored.
    pub(super) fn on_job_answer(&mut self, effects: &mut Effects, call: u64, answer: JobAnswer) {
        let Some(query) = self.calls.job_queries.remove(&call) else { return };
        match answer {
            JobAnswer::State(state) => {
                self.shared.context(effects).reply_state(query.lookup.req, 200, state);
            }
            JobAnswer::NotReady => self.answer_without_owner(effects, query.lookup),
            JobAnswer::NotOwner | JobAnswer::NoSuchJob => self.read_job(effects, query.lookup),
        }
    }

    /// Answers a sibling's query about a job of a shard that, as far as the sibling knows, this node
    /// owns.
    pub(super) fn answer_job_query(
        &mut self,
        effects: &mut Effects,
        from: &str,
        call: u64,
        query: JobQuery,
    ) {
        let JobQuery { id, cancel } = query;
        let shard = shard_of_job(id, self.shared.shard_count());
        let valid = self.shared.lease.is_valid(effects.now)
            || !is_enforced(Guard::UserAnswerNeedsValidLease);
        let slot = self.owned[shard.0 as usize].as_mut();
        let refusal = |answer| {
            let msg = NodeMessage::JobAnswer { call, answer };
            Effect::Mesh { to: from.to_string(), msg }
        };
        let Some(active) = slot.filter(|active| valid && active.coordinator.is_ready()) else {
            return effects.push(refusal(JobAnswer::NotOwner));
        };
        if self.shared.relayed_requests.len() > MAX_OPEN_QUERIES {
            return effects.push(refusal(JobAnswer::NotReady));
        }
        let req = SIBLING_REQUEST_BIT | self.calls.next_number();
        let request = RelayedRequest { node: from.to_string(), call };
        self.shared.relayed_requests.insert(req, request);
        let mut context = self.shared.context(effects);
        if cancel {
            if !active.coordinator.cancel(&mut context, req, id) {
                context.reply_error(req, 404, "unknown", None);
            }
            return;
        }
        match active.coordinator.job_state(id) {
            Some(state) => context.reply_state(req, 200, state),
            None => context.reply_error(req, 404, "unknown", None),
        }
    }

    /// Relays a worker's heartbeat to the owner of its machine's shard.
    pub(super) fn relay_heartbeat(
        &mut self,
        effects: &mut Effects,
        owner: NodeIdx,
        req: RequestId,
        heartbeat: Box<WorkerHeartbeat>,
    ) {
        let call = self.calls.next_number();
        let timeout_at = effects.now + CALL_TIMEOUT_MS;
        self.calls.relays.insert(call, PendingRelay { req, timeout_at });
        let to = self.shared.node_name(owner);
        effects.push(Effect::Mesh {
            to,
            msg: NodeMessage::RelayedHeartbeat { call, report: heartbeat },
        });
    }

    /// Passes the owner's answer to a relayed heartbeat to the worker. If the owner has none, the
    /// worker is told to ask the next node.
    pub(super) fn on_relay_answer(
        &mut self,
        effects: &mut Effects,
        call: u64,
        answer: Option<HeartbeatResponse>,
    ) {
        let Some(relay) = self.calls.relays.remove(&call) else { return };
        let reply = answer.map_or(WorkerReply::Redirect(None), WorkerReply::HeartbeatResponse);
        effects.push(Effect::Worker { req: relay.req, reply });
    }

    /// Tells each worker whose relayed heartbeat was not answered in time to ask the next node.
    pub(super) fn expire_relays(&mut self, effects: &mut Effects) {
        let now = effects.now;
        while let Some(entry) = self.calls.relays.first_entry() {
            if now < entry.get().timeout_at {
                return;
            }
            let PendingRelay { req, .. } = entry.remove();
            effects.push(Effect::Worker { req, reply: WorkerReply::Redirect(None) });
        }
    }
}

/// A sibling's query about a job.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobQuery {
    pub(super) id: JobId,
    /// Whether the sibling wants the job cancelled; otherwise it asks for the job's state.
    pub(super) cancel: bool,
}
