//! Heartbeats of a machine's worker, and its lease.
use super::{AttemptKey, Machine, TaskOnMachine};
use crate::guards::{is_enforced, Guard};
use crate::ids::{Attempt, Epoch, JobId, Timestamp};
use crate::shard::plus_clock_drift;
use leaddeal_wire::mesh::TaskPhase;
use leaddeal_wire::worker::{ExitReason, TaskReport, TaskState, WorkerHeartbeat};

/// Why a worker sent a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeartbeatKind {
    /// Sent by the worker on its own; it waits for a response, which renews its lease.
    Periodic,
    /// The answer to a command batch; it is not responded to.
    CommandResponse,
}

impl Machine {
    /// Notes a periodic heartbeat, and says whether the worker waits for a response to it. It
    /// doesn't if it has sent a newer one by now, or its incarnation is over. A late copy grants
    /// nothing, or it would keep a machine that is gone alive as long as copies of its heartbeats
    /// arrive.
    pub fn awaits_response(&mut self, heartbeat: &WorkerHeartbeat) -> bool {
        let number = (heartbeat.incarnation, heartbeat.seq);
        let newest = number > self.last_periodic && heartbeat.incarnation >= self.incarnation;
        self.last_periodic = self.last_periodic.max(number);
        newest || !is_enforced(Guard::LateHeartbeatGrantsNoLease)
    }

    /// The moment from which the worker's lease of `lease_ms` is surely over, unless it is renewed.
    /// Owners before us may have renewed it until `previous_owners_until`.
    pub fn lease_over_at(&self, lease_ms: u64, previous_owners_until: Timestamp) -> Timestamp {
        let granted_at = if self.token_confirmed {
            self.lease_granted_at
        } else {
            self.lease_granted_at.max(previous_owners_until)
        };
        granted_at + plus_clock_drift(lease_ms)
    }

    /// Takes in a heartbeat. `epoch` is the owner's. False if it tells nothing new; then nothing
    /// changes.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        epoch: Epoch,
        kind: HeartbeatKind,
        now: Timestamp,
    ) -> bool {
        if !self.is_news(heartbeat) {
            return false;
        }
        if heartbeat.incarnation > self.incarnation {
            self.begin_incarnation(heartbeat.incarnation, now);
        }
        self.apply_header(heartbeat, now);
        self.apply_token(heartbeat.token, epoch, now);
        self.apply_task_reports(heartbeat, now);
        self.apply_missing_tasks(heartbeat.incarnation, kind);
        if self.tasks.values().any(|task| !task.is_over()) {
            self.last_busy_at = now;
        }
        self.drop_forgotten();
        self.update_load();
        true
    }

    fn is_news(&self, heartbeat: &WorkerHeartbeat) -> bool {
        let known = (heartbeat.incarnation, heartbeat.seq) <= (self.incarnation, self.seq);
        if (known && is_enforced(Guard::OlderStatusIgnored)) || self.released {
            return false;
        }
        // The lease is over, so the incarnation must be: a heartbeat of it can only be a late one.
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
        // The lease of an incarnation runs from its own beginning, which may be just now, whatever
        // was granted to the one before. (Found by the simulator, with a node that got no processor
        // time: an answer to commands showed the new incarnation, a task was started in it, and
        // the expiry of the old incarnation's lease then declared the task gone.)
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
        let notice_ms = heartbeat.notice_s.map(|seconds| (seconds.max(0.0) * 1000.0) as u64);
        self.interruption_at = notice_ms.map(|notice_ms| now.saturating_add(notice_ms));
    }

    fn apply_token(&mut self, token: u64, epoch: Epoch, now: Timestamp) {
        // Once a worker comes back without the token, responses of owners before us count again.
        let confirmed = token == epoch.0;
        if confirmed && self.reported_token < token {
            self.reachability.record_proof();
        }
        self.reported_token = token;
        // When a worker shows our token for the first time, they counted until now, whatever we
        // granted. (Found by the simulator, seed 173: a late copy of a heartbeat brought the new
        // owner to command a worker that an older one, cut off with it, still answered.)
        if confirmed
            && !self.token_confirmed
            && is_enforced(Guard::LeaseCountedFromTokenConfirmation)
        {
            self.lease_granted_at = self.lease_granted_at.max(now);
        }
        self.token_confirmed = confirmed;
    }

    fn apply_task_reports(&mut self, heartbeat: &WorkerHeartbeat, now: Timestamp) {
        for task in self.tasks.values_mut() {
            task.reported = false;
        }
        for report in &heartbeat.tasks {
            self.apply_task_report(report, heartbeat.incarnation, now);
        }
    }

    fn apply_task_report(&mut self, report: &TaskReport, incarnation: u64, now: Timestamp) {
        let Some(id) = &report.task else { return };
        let attempt = Attempt(report.attempt);
        let key = AttemptKey { job: JobId(id.job), task: id.task, attempt };
        let unknown = || TaskOnMachine::new(None, TaskPhase::Decided, incarnation);
        let task = self.tasks.entry(key).or_insert_with(unknown);
        // It was started by a command of ours, so the worker receives what we send.
        if task.phase == TaskPhase::Decided && task.start_sent() {
            self.reachability.record_proof();
        }
        task.reported = true;
        if task.phase == TaskPhase::Gone {
            return;
        }
        task.phase = reported_phase(report);
        if matches!(report.state, TaskState::Running) && task.running_since.is_none() {
            task.running_since = Some(now);
        }
    }

    /// What it means that the heartbeat does not name an attempt.
    fn apply_missing_tasks(&mut self, incarnation: u64, kind: HeartbeatKind) {
        let confirmed = self.token_confirmed || !is_enforced(Guard::AbsenceNeedsConfirmedToken);
        for task in self.tasks.values_mut().filter(|task| !task.reported) {
            match task.phase {
                TaskPhase::Decided => {
                    // The response that named it was lost: a worker's heartbeats follow one
                    // another, and it executes a response before its next heartbeat.
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
            let reason = report.why.unwrap_or(ExitReason::Other);
            TaskPhase::Exited(reason, report.saved.unwrap_or(false))
        }
        state => TaskPhase::On(state),
    }
}
