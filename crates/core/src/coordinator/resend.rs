//! Resends placements and stops until participants report their effect.
use super::place_batch::{PlaceBatch, PlaceTarget};
use super::Coordinator;
use crate::context::Context;
use crate::guards::{is_enforced, Guard};
use crate::ids::{Epoch, JobId, Shard, Timestamp};
use crate::jobs::Job;
use crate::names::Names;
use crate::placed::{PendingStop, Placement};
use leaddeal_wire::mesh::{Assignment, AttemptRef, Shape, ShardMessage, TaskPhase};
use std::sync::Arc;

/// A message whose effect was not reported is sent again after this time.
const RESEND_INTERVAL_MS: u64 = 2000;
/// Time between two checks of the unsettled jobs.
const RESEND_CHECK_INTERVAL_MS: u64 = 500;
/// Maximum number of tasks in one message that tells a participant to place them.
const MAX_ASSIGNMENTS_PER_MESSAGE: usize = 200;

/// A stop to send.
struct StopMessage {
    participant: Shard,
    what: AttemptRef,
    grace_s: f64,
}

/// The messages that one check of the unsettled jobs finds due.
struct ResendBatch<'a> {
    now: Timestamp,
    /// By participant: whether it has a new owner, which does not know the messages sent before.
    has_new_owner: &'a [bool],
    places: PlaceBatch,
    stops: Vec<StopMessage>,
}

impl ResendBatch<'_> {
    /// Adds the messages due for a job. Returns false if all of its placements are settled.
    fn add_job(&mut self, names: &Names, job: &mut Job) -> bool {
        let mut is_unsettled = false;
        for (task, placement) in job.placed.iter_mut() {
            is_unsettled |=
                placement.stop.is_some() || placement.phase == TaskPhase::Decided || job.cancelled;
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
        let has_new_owner = self.has_new_owner[placement.participant.0 as usize];
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

    /// Adds a placement that was sent a while ago and not seen on its machine since, or that a new
    /// owner of the participant does not know.
    fn add_assignment(
        &mut self,
        names: &Names,
        job: JobId,
        shape: &Arc<Shape>,
        task: u32,
        placement: &mut Placement,
    ) {
        let participant = placement.participant;
        let has_new_owner = self.has_new_owner[participant.0 as usize];
        let is_unseen = placement.phase == TaskPhase::Decided;
        let is_due =
            has_new_owner || (is_unseen && self.now >= placement.sent_at + RESEND_INTERVAL_MS);
        if !is_due {
            return;
        }
        placement.sent_at = self.now;
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
        let has_new_owner = self.update_participant_epochs(ctx);
        // A new owner of a participant does not know what is placed on its machines, so every job
        // with placements counts as unsettled once. At other times only unsettled jobs are checked,
        // so that a check does not go through all placements twice a second.
        if has_new_owner.contains(&true) {
            let placed = self.jobs.values().filter(|job| !job.placed.is_empty());
            self.unsettled_jobs.extend(placed.map(|job| job.id));
        }
        let mut batch = ResendBatch {
            now: ctx.now,
            has_new_owner: &has_new_owner,
            places: PlaceBatch::default(),
            stops: Vec::new(),
        };
        let jobs = &mut self.jobs;
        self.unsettled_jobs
            .retain(|id| jobs.get_mut(id).is_some_and(|job| batch.add_job(ctx.names, job)));
        batch.send(ctx, self.shard);
    }

    /// Returns by participant whether its owner has changed since the last call.
    fn update_participant_epochs(&mut self, ctx: &Context) -> Vec<bool> {
        let mut has_new_owner = Vec::new();
        for participant in ctx.shards() {
            let epoch = ctx.owner(participant).map_or(Epoch(0), |owner| owner.epoch);
            let known = &mut self.participant_epochs[participant.0 as usize];
            has_new_owner.push(epoch != *known);
            *known = epoch;
        }
        has_new_owner
    }
}
