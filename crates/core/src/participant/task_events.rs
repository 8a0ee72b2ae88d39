//! Events of attempts, sent to their coordinators.
use super::Participant;
use crate::context::Context;
use crate::ids::{Epoch, MachineIdx, Shard, Timestamp};
use crate::machine::{AttemptKey, TaskOnMachine};
use leaddeal_wire::mesh::{ShardMessage, TaskEvent, TaskPhase};
use leaddeal_wire::worker::{ExitReason, TaskState};
use std::collections::BTreeMap;

/// Time in ms after which a report is sent again unless the coordinator has acknowledged it: the end of an
/// attempt, or any phase of one that the present coordinator has not named yet.
const REPORT_RESEND_INTERVAL_MS: u64 = 2000;
/// A report is sent again up to this much later, in ms, so that those of many machines are spread.
const REPORT_RESEND_JITTER_MS: u64 = 1000;
/// Maximum number of machines whose reports are sent again in one tick.
const MAX_RESENDS_PER_TICK: usize = 100;
/// Interval in ms at which events that no coordinator acts on soon are sent together.
const DEFERRED_EVENTS_INTERVAL_MS: u64 = 300;
/// Maximum number of events in one message.
const MAX_EVENTS: usize = 200;

/// Events to send, by the shard of the coordinator that they are for.
type EventsByShard = BTreeMap<u8, Vec<TaskEvent>>;

/// Whether events that no coordinator acts on soon are sent in this flush.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DeferredEvents {
    Send,
    Defer,
}

/// Returns whether reports of the attempt are repeated: it has ended, or the coordinator with this epoch has
/// neither placed nor stopped it yet. Until it is placed, it is not known what it takes, so that its machine
/// is not offered.
fn awaits_acknowledgement(task: &TaskOnMachine, coordinator_epoch: Epoch) -> bool {
    task.is_over() || task.acknowledged_by != coordinator_epoch
}

/// Returns by how much the resends for a machine are delayed, in ms.
fn resend_jitter_ms(idx: MachineIdx) -> u64 {
    u64::from(idx.0).wrapping_mul(37) % REPORT_RESEND_JITTER_MS
}

/// Whether the phase of an attempt has to be sent to its coordinator.
enum Notification {
    /// The coordinator already knows the phase, or its shard has no known owner.
    None,
    /// The phase is sent later, together with others.
    Deferred,
    /// The phase is sent now to the coordinator of this shard and epoch.
    Due(Shard, Epoch),
}

/// Returns whether a coordinator acts on the phase at once. The other phases it only shows to users, or
/// writes in batches (completions), and a task passes through several of them within a second.
fn needs_prompt_delivery(phase: TaskPhase) -> bool {
    match phase {
        TaskPhase::Exited(reason, _) => reason != ExitReason::Done,
        TaskPhase::Gone | TaskPhase::On(TaskState::Saving | TaskState::Exited) => true,
        TaskPhase::Decided
        | TaskPhase::On(TaskState::Fetching | TaskState::Waiting | TaskState::Running) => false,
    }
}

fn notification_for(
    ctx: &Context,
    key: &AttemptKey,
    task: &TaskOnMachine,
    deferred: DeferredEvents,
) -> Notification {
    if task.end_acknowledged {
        return Notification::None;
    }
    let shard = ctx.shard_of_job(key.job);
    let Some(epoch) = ctx.owner(shard).map(|owner| owner.epoch) else {
        return Notification::None;
    };
    let resend = awaits_acknowledgement(task, epoch)
        && ctx.now >= task.notified_at + REPORT_RESEND_INTERVAL_MS;
    if task.notified == Some((epoch, task.phase)) && !resend {
        return Notification::None;
    }
    if deferred == DeferredEvents::Defer && !needs_prompt_delivery(task.phase) {
        return Notification::Deferred;
    }
    Notification::Due(shard, epoch)
}

impl Participant {
    /// Sends the events of changed machines to coordinators and pending commands to workers.
    pub fn flush(&mut self, ctx: &mut Context) {
        let deferred = self.take_deferred(ctx.now);
        self.reindex(ctx.names);
        let mut events = EventsByShard::new();
        for idx in std::mem::take(&mut self.changed_machines) {
            self.collect_events(ctx, idx, deferred, &mut events);
            self.send_commands(ctx, idx);
        }
        for (shard, events) in events {
            for chunk in events.chunks(MAX_EVENTS) {
                let message = ShardMessage::TaskEvents { events: chunk.to_vec() };
                ctx.send(self.shard, Shard(shard), message);
            }
        }
        self.send_capacity_notices(ctx);
    }

    /// Marks the machines whose reports are due to be sent again as changed, up to a maximum.
    pub(super) fn queue_resends(&mut self, now: Timestamp) {
        for _ in 0..MAX_RESENDS_PER_TICK {
            let Some((_, idx)) = self.resend_queue.pop_front_if(|resend| resend.0 <= now) else {
                return;
            };
            self.changed_machines.insert(idx);
        }
    }

    /// Returns whether deferred events are sent now; if so, marks their machines as changed.
    fn take_deferred(&mut self, now: Timestamp) -> DeferredEvents {
        if now < self.next_deferred_at {
            return DeferredEvents::Defer;
        }
        if !self.deferred_machines.is_empty() {
            self.next_deferred_at = now + DEFERRED_EVENTS_INTERVAL_MS;
            self.changed_machines.append(&mut self.deferred_machines);
        }
        DeferredEvents::Send
    }

    /// Adds the events that are due for the attempts on a machine to `events`.
    fn collect_events(
        &mut self,
        ctx: &Context,
        idx: MachineIdx,
        deferred: DeferredEvents,
        events: &mut EventsByShard,
    ) {
        let Some(machine) = self.machines.get_mut(&idx) else { return };
        let mut is_unacknowledged = false;
        for (key, task) in &mut machine.tasks {
            let (shard, epoch) = match notification_for(ctx, key, task, deferred) {
                Notification::None => continue,
                Notification::Deferred => {
                    self.deferred_machines.insert(idx);
                    continue;
                }
                Notification::Due(shard, epoch) => (shard, epoch),
            };
            task.notified = Some((epoch, task.phase));
            task.notified_at = ctx.now;
            is_unacknowledged |= awaits_acknowledgement(task, epoch);
            events.entry(shard.0).or_default().push(TaskEvent {
                job: key.job.0,
                task: key.task,
                attempt: key.attempt.0,
                machine: ctx.names.machine_name(idx).to_string(),
                phase: task.phase,
            });
        }
        if is_unacknowledged {
            let resend_at = ctx.now + REPORT_RESEND_INTERVAL_MS + resend_jitter_ms(idx);
            self.resend_queue.push_back((resend_at, idx));
        }
    }
}
