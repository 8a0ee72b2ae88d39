//! Resends placements and stops until the participants show that they have received them.
use super::place_batch::{PlaceBatch, PlaceTarget};
use super::Coordinator;
use crate::context::Context;
use crate::guards::{holds, Guard};
use crate::ids::{Epoch, JobId, Shard, Timestamp};
use crate::jobs::Job;
use crate::names::Names;
use crate::placed::{PendingStop, Placement};
use leaddeal_wire::mesh::{Assignment, AttemptRef, Shape, ShardMessage, TaskPhase};
use std::sync::Arc;

/// A message whose effect is not seen is sent again after this time.
const RESEND_INTERVAL_MS: u64 = 2000;
/// Time between two walks over the placements that are not settled.
const RESEND_CHECK_INTERVAL_MS: u64 = 500;
/// Tasks that one message tells a participant to place.
const MAX_ASSIGNMENTS_PER_MESSAGE: usize = 200;

/// A stop to be sent.
struct StopMessage {
    participant: Shard,
    what: AttemptRef,
    grace_s: f64,
}

/// What one walk over the placements finds due.
struct ResendBatch<'a> {
    now: Timestamp,
    /// By participant: whether it has a new owner, which knows nothing of what was sent before.
    has_new_owner: &'a [bool],
    places: PlaceBatch,
    stops: Vec<StopMessage>,
}

impl ResendBatch<'_> {
    /// Adds what is due of a job. False: all of its placements are settled.
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

    /// Adds a stop that was not sent yet, not lately, or not to this owner of the participant.
    fn add_stop(&mut self, names: &Names, job: JobId, task: u32, placement: &mut Placement) {
        let renew = self.has_new_owner[placement.participant.0 as usize];
        let Some(stop) = &mut placement.stop else { return };
        let is_due = renew || self.now >= stop.sent_at + RESEND_INTERVAL_MS;
        if !is_due || (stop.sent_at != 0 && !holds(Guard::StopAgain)) {
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

    /// Adds a placement that was not seen on its machine for a while, or that a new owner of the
    /// participant does not know.
    fn add_assignment(
        &mut self,
        names: &Names,
        job: JobId,
        shape: &Arc<Shape>,
        task: u32,
        placement: &mut Placement,
    ) {
        let participant = placement.participant;
        let renew = self.has_new_owner[participant.0 as usize];
        let is_unseen = placement.phase == TaskPhase::Decided;
        let is_due = renew || (is_unseen && self.now >= placement.sent_at + RESEND_INTERVAL_MS);
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
    /// Resends what is due, if it is time for the next walk.
    pub(super) fn resend(&mut self, ctx: &mut Context) {
        if !self.ready() || ctx.now < self.next_resend {
            return;
        }
        self.next_resend = ctx.now + RESEND_CHECK_INTERVAL_MS;
        let has_new_owner = self.see_participant_owners(ctx);
        // A new owner of a participant knows nothing of what is on its machines. (Before, all placements
        // were gone through twice a second.)
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

    /// By participant: whether it has another owner than when this was called before.
    fn see_participant_owners(&mut self, ctx: &Context) -> Vec<bool> {
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
