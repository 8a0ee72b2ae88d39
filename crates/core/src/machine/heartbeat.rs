//! The heartbeats of a machine's worker, and the worker's lease.
use super::{AttemptKey, Machine, TaskOnMachine};
use crate::guards::{is_enforced, Guard};
use crate::ids::{Attempt, Epoch, JobId, Timestamp};
use crate::shard::plus_clock_drift;
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::{ExitReason, TaskReport, TaskState, WorkerHeartbeat};

/// Why a worker sent a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatKind {
    /// Sent by the worker on its own. The worker waits for a response, which renews its lease.
    Periodic,
    /// The worker's response to a command batch. No response is sent to it.
    CommandResponse,
}

impl Machine {
    /// Records a periodic heartbeat and returns whether the worker waits for a response to it. The
    /// worker does not if it has sent a newer heartbeat, or if the incarnation has ended.
    ///
    /// Without this check, delayed copies of the heartbeats of a machine that is gone would keep
    /// renewing its lease, and it would count as alive.
    pub fn awaits_response(&mut self, heartbeat: &WorkerHeartbeat) -> bool {
        let number = (heartbeat.incarnation, heartbeat.seq);
        let newest = number > self.last_periodic && heartbeat.incarnation >= self.incarnation;
        self.last_periodic = self.last_periodic.max(number);
        newest || !is_enforced(Guard::LateHeartbeatGrantsNoLease)
    }

    /// Returns the time from which the worker's lease of `lease_ms` has surely expired, unless it is
    /// renewed. Previous owners of the shard may have renewed it until `previous_owners_until`.
    pub fn lease_surely_expired_at(
        &self,
        lease_ms: u64,
        previous_owners_until: Timestamp,
    ) -> Timestamp {
        let granted_at = if self.token_confirmed {
            self.lease_granted_at
        } else {
            self.lease_granted_at.max(previous_owners_until)
        };
        granted_at + plus_clock_drift(lease_ms)
    }

    /// Applies a heartbeat. `epoch` is this owner's. Returns false, and changes nothing, if the
    /// heartbeat is outdated.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        epoch: Epoch,
        kind: HeartbeatKind,
        now: Timestamp,
    ) -> bool {
        if !self.is_new(heartbeat) {
            return false;
        }
        let obeyed_before = self.token_confirmed && heartbeat.incarnation == self.incarnation;
        if heartbeat.incarnation > self.incarnation {
            self.begin_incarnation(heartbeat.incarnation, now);
        }
        self.apply_header(heartbeat, now);
        self.apply_token(heartbeat.token, epoch, now);
        let unknown_before = self.apply_task_reports(heartbeat, now);
        // What this owner has placed is known before, and commands of previous owners are refused.
        self.unexpected_attempts = if obeyed_before { unknown_before } else { Vec::new() };
        self.apply_missing_tasks(heartbeat.incarnation, kind);
        if self.tasks.values().any(|task| !task.is_over()) {
            self.last_busy_at = now;
        }
        self.remove_forgotten();
        self.update_load();
        true
    }

    fn is_new(&self, heartbeat: &WorkerHeartbeat) -> bool {
        let known = (heartbeat.incarnation, heartbeat.seq) <= (self.incarnation, self.seq);
        if (known && is_enforced(Guard::OlderStatusIgnored)) || self.released {
            return false;
        }
        // A worker ends its incarnation when its lease expires, so a further heartbeat of that
        // incarnation can only be a delayed copy.
        !(self.lease_expired && heartbeat.incarnation == self.incarnation)
    }

    fn begin_incarnation(&mut self, incarnation: u64, now: Timestamp) {
        if self.incarnation > 0 {
            self.reachability.mark_unreachable(now);
        }
        for task in self.tasks.values_mut().filter(|task| task.incarnation < incarnation) {
            task.end_with_incarnation();
        }
        self.lease_expired = false;
        // The lease of an incarnation starts with the incarnation, which may be just now, whatever
        // was granted to the previous one. Otherwise, when a node that was short of processor time
        // learned of the new incarnation from a response to commands and started a task in it, the
        // expiry of the old incarnation's lease marked that task as gone.
        if is_enforced(Guard::LeasePerIncarnation) {
            self.lease_granted_at = self.lease_granted_at.max(now);
        }
    }

    fn apply_header(&mut self, heartbeat: &WorkerHeartbeat, now: Timestamp) {
        self.incarnation = heartbeat.incarnation;
        self.seq = heartbeat.seq;
        self.last_heartbeat_at = now;
        self.addr.clone_from(&heartbeat.addr);
        self.spot = heartbeat.spot;
        let notice_ms =
            heartbeat.interruption_notice_s.map(|seconds| (seconds.max(0.0) * 1000.0) as u64);
        self.interruption_at = notice_ms.map(|notice_ms| now.saturating_add(notice_ms));
    }

    fn apply_token(&mut self, token: u64, epoch: Epoch, now: Timestamp) {
        // A worker that restarted without the token accepts responses of previous owners again.
        let confirmed = (epoch.0..=self.token.max(epoch.0)).contains(&token);
        if confirmed && self.reported_token < token {
            self.reachability.record_proof();
        }
        self.reported_token = token;
        // When a worker reports our token for the first time, previous owners may have renewed its
        // lease until now, whatever this owner granted. A delayed copy of a heartbeat made the new
        // owner send commands to a worker that an older owner, on the same side of a partition as
        // the worker, still responded to (found by the simulator with seed 173).
        if confirmed
            && !self.token_confirmed
            && is_enforced(Guard::LeaseCountedFromTokenConfirmation)
        {
            self.lease_granted_at = self.lease_granted_at.max(now);
        }
        self.token_confirmed = confirmed;
        // A command that the worker refuses by its token is never executed, however late it arrives.
        for task in self.tasks.values_mut().filter(|task| task.start_uncertain) {
            task.start_uncertain = task.start_token.is_none_or(|start_token| start_token >= token);
        }
    }

    /// Applies the task states of a heartbeat. Returns the attempts that were not known.
    fn apply_task_reports(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        now: Timestamp,
    ) -> Vec<AttemptKey> {
        for task in self.tasks.values_mut() {
            task.reported = false;
        }
        let mut unknown = Vec::new();
        for report in &heartbeat.tasks {
            let Some(id) = &report.task else { continue };
            let attempt = Attempt(report.attempt);
            let key = AttemptKey { job: JobId(id.job), task: id.task, attempt };
            if self.apply_task_report(key, report, heartbeat.incarnation, now) {
                unknown.push(key);
            }
        }
        unknown
    }

    /// Applies the state of one task. Returns whether the attempt was not known.
    fn apply_task_report(
        &mut self,
        key: AttemptKey,
        report: &TaskReport,
        incarnation: u64,
        now: Timestamp,
    ) -> bool {
        let mut is_unknown = false;
        let task = self.tasks.entry(key).or_insert_with(|| {
            is_unknown = true;
            TaskOnMachine::new(None, TaskPhase::Decided, incarnation)
        });
        // Our command started the attempt, which proves that the worker receives what we send.
        if task.phase == TaskPhase::Decided && task.start_sent() {
            self.reachability.record_proof();
        }
        task.reported = true;
        if task.phase == TaskPhase::Gone {
            return is_unknown;
        }
        task.phase = reported_phase(report);
        if matches!(report.state, TaskState::Running) && task.running_since.is_none() {
            task.running_since = Some(now);
        }
        is_unknown
    }

    /// Updates the attempts that the heartbeat does not contain.
    fn apply_missing_tasks(&mut self, incarnation: u64, kind: HeartbeatKind) {
        let confirmed = self.token_confirmed || !is_enforced(Guard::AbsenceNeedsConfirmedToken);
        for task in self.tasks.values_mut().filter(|task| !task.reported) {
            match task.phase {
                TaskPhase::Decided => {
                    // A worker executes each response before it sends its next periodic heartbeat,
                    // so the response with the start command was lost.
                    if kind == HeartbeatKind::Periodic {
                        task.in_last_response = false;
                    }
                    let unwanted = task.stop.is_some() || task.adopted;
                    let was_possible = task.incarnation <= incarnation;
                    if unwanted && !task.start_sent() && confirmed && was_possible {
                        task.phase = TaskPhase::Gone;
                    }
                }
                TaskPhase::On(_) => task.phase = TaskPhase::Gone,
                TaskPhase::Exited(..) | TaskPhase::Gone => {}
            }
        }
    }
}

fn reported_phase(report: &TaskReport) -> TaskPhase {
    match report.state {
        TaskState::Exited => {
            let reason = report.exit_reason.unwrap_or(ExitReason::Other);
            TaskPhase::Exited(reason, report.saved.unwrap_or(false))
        }
        state => TaskPhase::On(state),
    }
}
