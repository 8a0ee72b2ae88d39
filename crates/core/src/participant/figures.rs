//! What stands in the way of GPU work on a participant's machines, for the operators' log.
use super::Participant;
use crate::context::Context;
use crate::names::Resources;

impl Participant {
    /// Machines with GPUs by what is on them: GPU work; room for the GPU work asked for lately;
    /// other tasks that will end; services, or holds, that stay; or nothing may come to them now.
    pub fn figures(&self, ctx: &Context) -> String {
        let (mut busy, mut open, mut short, mut blocked, mut away, mut claimed) =
            (0, 0, 0, 0, 0, 0);
        let needs: Vec<Resources> = self.gpu_demand.needs().collect();
        for (idx, m, g, later) in self.gpu_machines(ctx.names) {
            let fits = |room: Resources| needs.iter().any(|&n| room.fits(n) > 0);
            let mut free = ctx.names.room_of_type(g.0);
            let known = m.used().map(|u| free.sub(u, 1)).is_some();
            claimed += u32::from(!self.reservations.on(idx).is_empty());
            if !m.token_confirmed || !known || ctx.now >= m.last_heartbeat_at + ctx.config.quiet_ms
            {
                away += 1;
            } else if m.has_gpu_work() {
                busy += 1;
            } else if fits(free) {
                open += 1;
            } else if fits(later) {
                short += 1;
            } else {
                blocked += 1;
            }
        }
        format!(
            "shard={} machines={} gpu_busy={busy} gpu_open={open} gpu_short_tasks={short} \
             gpu_blocked={blocked} gpu_away={away} gpu_claimed={claimed} line={}",
            self.shard.0,
            self.machines.len(),
            self.gang_queue.len(),
        )
    }
}
