//! Messages of the other controllers.
use super::{Node, MOST_CALLS};
use crate::context::{Context, LookupPurpose};
use crate::guards::{holds, Guard};
use crate::ids::{shard_of_job, Epoch, JobId, NodeIdx, Shard};
use crate::io::{Effect, Effects, WorkerReply};
use crate::shard::Owner;
use leaddeal_wire::mesh::{JobAnswer, NodeHeartbeat, NodeMessage};

impl Node {
    /// Tells all siblings what is owned here and what is known of the rest. Also while our lease
    /// may be in doubt: an older owner's time is over all the same.
    pub(super) fn beat(&mut self, effects: &mut Effects, to: impl Fn(NodeIdx) -> bool) {
        let mine = self.mine(effects.now);
        let owned = self.owned_shards().iter().map(|(s, e)| (s.0, e.0)).collect();
        let known = self.view.iter().enumerate().filter_map(|(i, v)| Some((i as u8, v.last?)));
        let known = known.map(|(i, o)| (i, o.node.0, o.epoch.0)).collect();
        let beat = NodeHeartbeat {
            owned,
            known,
            ready: self.ready(effects.now),
            ..NodeHeartbeat::default()
        };
        for (i, n) in self.nodes.iter().enumerate() {
            let node = NodeIdx(i as u8);
            if node != self.me && to(node) {
                let mut beat = beat.clone();
                self.horizons.tell(node, &mine, &self.view, effects.now, &mut beat);
                effects
                    .list
                    .push(Effect::Mesh { to: n.clone(), msg: NodeMessage::Heartbeat(beat) });
            }
        }
    }

    /// A node that does not reach the state service still learns that its time is over, from the
    /// new owner or from whoever knows it, and sends the workers there. (Found by the simulator,
    /// seed 1498: the new owner stood still and then lost its lease, so it owned nothing to tell
    /// of; the one before it went on answering workers with tasks that were cancelled meanwhile.)
    fn heard_beat(&mut self, effects: &mut Effects, from: NodeIdx, b: &NodeHeartbeat) {
        let owned = b.owned.iter().map(|&(shard, epoch)| (shard, from.0, epoch));
        for (shard, node, epoch) in owned.chain(b.known.iter().copied()) {
            let (shard, node) = (Shard(shard), NodeIdx(node));
            let known = (node.0 as usize) < self.nodes.len();
            let Some(v) = self.view.get_mut(shard.0 as usize).filter(|_| known) else { continue };
            // Of our own former epochs we know, and of our present ones.
            if node != self.me
                && v.claimed(Owner { node, boot: 0, epoch: Epoch(epoch) }, effects.now)
            {
                if self.owned[shard.0 as usize].is_some() && holds(Guard::BeatEnds) {
                    self.drop_shard(effects, shard);
                }
                self.spread_view();
            }
        }
        self.health.beat(from, b);
        if self.horizons.hear(from, b, &self.view, effects.now) {
            self.beat(effects, |n| n == from);
        }
        let mine = self.mine(effects.now);
        self.horizons.advance(&mine, &self.view, effects.now);
        for o in self.owned.iter_mut().flatten() {
            if self.health.all_know(o.participant.shard, o.epoch) {
                o.participant.older_let_go(effects.now);
            }
        }
    }

    pub(super) fn mesh(&mut self, effects: &mut Effects, from: &str, msg: NodeMessage) {
        let now = effects.now;
        let Some(n) = self.nodes.iter().position(|x| x == from) else {
            return;
        };
        let node = NodeIdx(n as u8);
        self.health.hear(node, now);
        match msg {
            NodeMessage::Heartbeat(b) => self.heard_beat(effects, node, &b),
            NodeMessage::Shard { from, from_epoch, to, to_epoch, msg } => {
                let len = self.view.len();
                if from as usize >= len || to as usize >= len {
                    return;
                }
                let mine = self.owned[to as usize].as_ref().map(|o| o.epoch.0);
                let newer = self.view[from as usize].owner.is_some_and(|o| o.epoch.0 > from_epoch);
                if mine == Some(to_epoch) && (!newer || !holds(Guard::OldSender)) {
                    self.deliver(effects, Shard(from), Epoch(from_epoch), Shard(to), msg);
                }
            }
            NodeMessage::QueryJob { call, job, cancel } => {
                let id = JobId(job);
                let shard = shard_of_job(id, self.view.len());
                let valid = self.lease.valid(now) || !holds(Guard::DoubtTells);
                let mine = self.owned[shard.0 as usize].as_mut();
                let to = from.to_string();
                let Some(o) = mine.filter(|o| valid && o.coordinator.ready()) else {
                    let answer = JobAnswer::NotMine;
                    effects
                        .list
                        .push(Effect::Mesh { to, msg: NodeMessage::JobAnswer { call, answer } });
                    return;
                };
                if self.relays.len() > MOST_CALLS {
                    let answer = JobAnswer::Later;
                    effects
                        .list
                        .push(Effect::Mesh { to, msg: NodeMessage::JobAnswer { call, answer } });
                    return;
                }
                self.next_call += 1;
                let req = (1 << 62) | self.next_call;
                self.relays.insert(req, (to, call));
                let mut c = ctx!(self, effects);
                if cancel {
                    if !o.coordinator.cancel(&mut c, req, id) {
                        c.reply_error(req, 404, "unknown", None);
                    }
                } else {
                    match o.coordinator.state(id) {
                        Some(s) => c.reply_state(req, 200, s),
                        None => c.reply_error(req, 404, "unknown", None),
                    }
                }
            }
            NodeMessage::JobAnswer { call, answer } => {
                let Some(k) = self.calls.remove(&call) else {
                    return;
                };
                match answer {
                    JobAnswer::State(s) => {
                        let mut c = ctx!(self, effects);
                        c.reply_state(k.req, 200, s);
                    }
                    JobAnswer::Later if k.ask == LookupPurpose::Cancel => {
                        let mut c = ctx!(self, effects);
                        c.reply_later(k.req, 503, 1);
                    }
                    JobAnswer::NotMine | JobAnswer::Unknown | JobAnswer::Later => {
                        self.read_job(effects, k.req, k.id, k.ask);
                    }
                }
            }
            NodeMessage::RelayedHeartbeat { call, report } => {
                let answer = match self.judge(effects, &report, Some(node)) {
                    WorkerReply::HeartbeatResponse(a) => Some(a),
                    WorkerReply::Redirect(_) | WorkerReply::Unavailable => None,
                };
                let to = from.to_string();
                effects
                    .list
                    .push(Effect::Mesh { to, msg: NodeMessage::RelayedResponse { call, answer } });
            }
            NodeMessage::RelayedResponse { call, answer } => {
                if let Some(p) = self.pending_relays.remove(&call) {
                    // It has none to give: the worker asks the next node.
                    let reply =
                        answer.map_or(WorkerReply::Redirect(None), WorkerReply::HeartbeatResponse);
                    effects.list.push(Effect::Worker { req: p.req, reply });
                }
            }
            NodeMessage::ReclaimShard { shard } => {
                if shard as usize == n {
                    if let Some(o) = self.owned.get_mut(shard as usize).and_then(Option::as_mut) {
                        o.coordinator.relinquishing = true;
                        o.leave_until = now + 5000;
                    }
                }
            }
        }
    }
}
