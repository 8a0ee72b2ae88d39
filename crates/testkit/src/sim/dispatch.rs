//! The dispatcher, which passes each event to the function that handles it.
use super::event::Event;
use super::{Sim, GANG_STEP_MS, LIVENESS_CHECK_MS};
use crate::broken_rule::BrokenRule;

impl Sim {
    /// Passes an event to the function that handles it.
    ///
    /// # Errors
    /// The rule that the event broke.
    pub(super) fn handle(&mut self, event: Event) -> Result<(), BrokenRule> {
        match event {
            Event::Tick(process) => self.tick(process)?,
            Event::NodeInput { process, input } => self.deliver_input(process, input)?,
            Event::Store(call) => self.execute_store_call(call)?,
            Event::Heartbeat(heartbeat) => self.deliver_heartbeat(heartbeat)?,
            Event::LateCopy(copy) => self.deliver_copy(copy)?,
            Event::CheckLiveness => self.check_liveness()?,
            Event::GangStep => self.gang_step()?,
            Event::NextSubmission => self.next_submission()?,
            Event::Poll { job } => self.poll(job)?,
            Event::Cancel { job } => self.cancel(job)?,
            Event::RepeatCancel { job } => self.repeat_cancel(job)?,
            Event::RequestAt { node, kind, job } => self.send_to_node(node, kind, &job)?,
            Event::InvalidRequest { until } => self.invalid_request(until)?,
            Event::SingleTaskJob { until } => self.single_task_job(until)?,
            // These pass no input to a controller, so that they cannot break a rule themselves.
            Event::StoreAnswer(answer) => self.deliver_store_answer(answer),
            Event::Watch(watch) => self.poll_watch(watch),
            Event::WatchAnswer { watch, found } => self.deliver_watch_answer(watch, found),
            Event::WorkerStep { machine } => self.worker_step(machine),
            Event::HeartbeatReply(reply) => self.deliver_heartbeat_reply(reply),
            Event::Commands(commands) => self.deliver_commands(commands),
            Event::InstanceUp { machine } => self.instance_up(&machine),
            Event::Restart { node } => self.start(node),
            Event::RandomFault => self.inject_random_fault(),
            Event::ScriptedFault(fault) => self.inject(fault),
            Event::AllFaultsEnd => self.end_all_faults(),
            Event::RandomQueryBurst => self.open_random_burst_window(),
        }
        Ok(())
    }

    /// Checks, after all faults have ended, that each shard is served, every user request is answered and no job
    /// starves.
    fn check_liveness(&mut self) -> Result<(), BrokenRule> {
        self.schedule(LIVENESS_CHECK_MS, Event::CheckLiveness);
        self.check_service()?;
        self.rules.check_answered(self.now)?;
        self.rules.check_starvation(self.now, &self.workers, &self.done)
    }

    /// Advances the gangs, and checks that the tasks of each gang run at the same time.
    fn gang_step(&mut self) -> Result<(), BrokenRule> {
        self.schedule(GANG_STEP_MS, Event::GangStep);
        self.gangs.advance(self.now, &mut self.workers, &self.rules.jobs, &mut self.done);
        let (jobs, workers) = (&self.rules.jobs, &self.workers);
        self.rules.coscheduling.check(self.now, jobs, workers, &self.done)
    }
}
