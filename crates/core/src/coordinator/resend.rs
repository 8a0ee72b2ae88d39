//! Sends placements and stops until the present owners of the participants report their effect.
use super::place_batch::{PlaceBatch, PlaceTarget};
use super::Coordinator;
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, JobId, Shard, Timestamp};
use crate::jobs::Job;
use crate::names::Names;
use crate::placed::{PendingStop, Placement};
use leaddeal_wire::mesh::{Assignment, AttemptRef, Shape, ShardMessage};
use std::sync::Arc;

/// A message whose effect was not reported is sent again after this time, in ms.
const RESEND_INTERVAL_MS: u64 = 2000;
/// A `Place` message is sent again up to this much later, in ms, so that the placements which became due
/// at the same time are spread.
const RESEND_JITTER_MS: u64 = 1000;
/// Time between two checks of the unsettled jobs, in ms.
const RESEND_CHECK_INTERVAL_MS: u64 = 500;
/// Maximum number of tasks in one message that tells a participant to place them.
const MAX_ASSIGNMENTS_PER_MESSAGE: usize = 200;
/// Maximum number of tasks in all such messages within one interval between checks. All placements at a
/// participant are due when its owner changes.
const MAX_ASSIGNMENTS_PER_INTERVAL: usize = 1000;

/// Returns by how much the resends for a task are delayed, in ms.
fn resend_jitter_ms(job: JobId, task: u32) -> u64 {
    job.0.wrapping_mul(31).wrapping_add(u64::from(task).wrapping_mul(17)) % RESEND_JITTER_MS
}

/// How many tasks may still be placed again. Jobs are also checked between two regular checks, when a stop
/// is urgent, so the maximum is counted by time and not by check.
#[derive(Debug, Default)]
pub(super) struct AssignmentBudget {
    left: usize,
    refill_at: Timestamp,
}

impl AssignmentBudget {
    fn refill(&mut self, now: Timestamp) {
        if now >= self.refill_at {
            self.left = MAX_ASSIGNMENTS_PER_INTERVAL;
            self.refill_at = now + RESEND_CHECK_INTERVAL_MS;
        }
    }

    /// Takes one task from the budget. Returns false if nothing is left.
    fn take_one(&mut self) -> bool {
        let has_room = self.left > 0;
        self.left -= usize::from(has_room);
        has_room
    }
}

/// A stop to send.
struct StopMessage {
    participant: Shard,
    what: AttemptRef,
    grace_s: f64,
}

/// The owner of a participant's shard at a check.
#[derive(Clone, Copy)]
struct ParticipantOwner {
    /// 0: no owner is known.
    epoch: Epoch,
    /// It was not the owner at the previous check.
    is_new: bool,
    is_reachable: bool,
}

/// The messages that one check of the unsettled jobs finds due.
struct ResendBatch<'a> {
    now: Timestamp,
    /// By participant.
    owners: &'a [ParticipantOwner],
    places: PlaceBatch,
    /// How many tasks may still be added to `places`.
    budget: &'a mut AssignmentBudget,
    /// The first job with a task that had no room in `places`.
    first_deferred: Option<JobId>,
    stops: Vec<StopMessage>,
}

impl ResendBatch<'_> {
    /// Adds the messages due for a job. Returns false if all of its placements are settled.
    fn add_job(&mut self, names: &Names, job: &mut Job) -> bool {
        let mut is_unsettled = false;
        for (task, placement) in job.placed.iter_mut() {
            let owner = self.owners[placement.participant.0 as usize];
            is_unsettled |=
                placement.stop.is_some() || job.cancelled || !placement.is_settled(owner.epoch);
            if placement.stop.is_some() {
                self.add_stop(names, job.id, task, placement);
            } else if job.cancelled {
                placement.stop = Some(PendingStop::new(0.0));
            } else {
                self.add_assignment(names, job.id, &job.shape.wire, task, placement);
            }
        }
        is_unsettled
    }

    /// Adds the stop of a placement unless it was recently sent to the participant's present owner.
    fn add_stop(&mut self, names: &Names, job: JobId, task: u32, placement: &mut Placement) {
        let has_new_owner = self.owners[placement.participant.0 as usize].is_new;
        let Some(stop) = &mut placement.stop else { return };
        let is_due = has_new_owner || self.now >= stop.sent_at + RESEND_INTERVAL_MS;
        if !is_due || (stop.sent_at != 0 && !is_enforced(Guard::StopResent)) {
            return;
        }
        stop.sent_at = self.now;
        let what = AttemptRef {
            job: job.0,
            task,
            attempt: placement.attempt.0,
            machine: names.machine_name(placement.machine).to_string(),
            incarnation: Some(placement.incarnation),
        };
        let (participant, grace_s) = (placement.participant, stop.grace_s);
        self.stops.push(StopMessage { participant, what, grace_s });
    }

    /// Adds a placement that the participant's present owner was not sent yet, or was sent a while ago
    /// and has not reported on its machine since. A single message after a change of the owner is not
    /// enough: while it was lost in a partition, the new owner offered the machine to nobody for as
    /// long as the task ran, since it did not know what the task takes.
    fn add_assignment(
        &mut self,
        names: &Names,
        job: JobId,
        shape: &Arc<Shape>,
        task: u32,
        placement: &mut Placement,
    ) {
        let participant = placement.participant;
        let owner = self.owners[participant.0 as usize];
        if placement.is_settled(owner.epoch) || !owner.is_reachable {
            return;
        }
        let resend_at = placement.sent_at + RESEND_INTERVAL_MS + resend_jitter_ms(job, task);
        if placement.sent_to == owner.epoch && self.now < resend_at {
            return;
        }
        if !self.budget.take_one() {
            self.first_deferred.get_or_insert(job);
            return;
        }
        placement.record_sent(owner.epoch, self.now);
        let target = PlaceTarget { participant, job, adopt: placement.adopted };
        let assignment = Assignment {
            task,
            attempt: placement.attempt.0,
            machine: names.machine_name(placement.machine).to_string(),
            incarnation: placement.incarnation,
        };
        self.places.add(target, shape, assignment);
    }

    /// Sends the placements, then the stops.
    fn send(self, ctx: &mut Context, from: Shard) {
        for request in self.places.into_requests() {
            for message in request.messages(MAX_ASSIGNMENTS_PER_MESSAGE) {
                ctx.send(from, request.target.participant, message);
            }
        }
        for StopMessage { participant, what, grace_s } in self.stops {
            ctx.send(from, participant, ShardMessage::Stop { what, grace_s });
        }
    }
}

impl Coordinator {
    /// Sends all due placements and stops if the next check is due.
    pub(super) fn resend(&mut self, ctx: &mut Context) {
        if !self.is_ready() || ctx.now < self.next_resend_at {
            return;
        }
        self.next_resend_at = ctx.now + RESEND_CHECK_INTERVAL_MS;
        let owners = self.update_participant_owners(ctx);
        // A new owner of a participant does not know what is placed on its machines, so every job
        // with placements becomes unsettled. At other times only unsettled jobs are checked, so that a
        // check does not go through all placements twice a second.
        if owners.iter().any(|owner| owner.is_new) {
            let placed = self.jobs.values().filter(|job| !job.placed.is_empty());
            self.unsettled_jobs.extend(placed.map(|job| job.id));
        }
        self.assignment_budget.refill(ctx.now);
        let mut batch = ResendBatch {
            now: ctx.now,
            owners: &owners,
            places: PlaceBatch::default(),
            budget: &mut self.assignment_budget,
            first_deferred: None,
            stops: Vec::new(),
        };
        let jobs = &mut self.jobs;
        let mut is_unsettled =
            |id: &JobId| jobs.get_mut(id).is_some_and(|job| batch.add_job(ctx.names, job));
        let mut unsettled = self.unsettled_jobs.split_off(&self.next_resend_job);
        unsettled.retain(&mut is_unsettled);
        self.unsettled_jobs.retain(&mut is_unsettled);
        self.unsettled_jobs.append(&mut unsettled);
        self.next_resend_job = batch.first_deferred.unwrap_or(JobId(0));
        batch.send(ctx, self.shard);
    }

    /// Returns the present owner of each participant.
    fn update_participant_owners(&mut self, ctx: &Context) -> Vec<ParticipantOwner> {
        let mut owners = Vec::new();
        for participant in ctx.shards() {
            let epoch = ctx.owner_epoch(participant);
            let known = &mut self.participant_epochs[participant.0 as usize];
            let is_new = epoch != *known;
            *known = epoch;
            owners.push(ParticipantOwner {
                epoch,
                is_new,
                is_reachable: ctx.is_reachable(participant),
            });
        }
        owners
    }
}
