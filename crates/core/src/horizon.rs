//! What was cancelled, and up to when all of it is known here: how long workers may be answered.
//!
//! An answer keeps a worker's tasks alive for its lease. The tasks of a cancelled job must be gone
//! `cancel_s` after its user was told, which any controller may have done, from the store or as the
//! owner of the job's shard. So each node keeps a *horizon* for each shard.
//!
//! Invariants:
//! - every cancellation of the shard that was written until its horizon is known here. Users are told
//!   only what was written before;
//! - a horizon moves on by proof alone: what the shard's owner says under its lease, of itself (1); what
//!   the store was read to hold (2); or, though the owner's lease is in doubt, that every other process
//!   said that neither it nor a process of its before acted under a newer epoch (3). What is said counts
//!   from our own stamp that it echoes: it was said after that, however long it was on its way;
//! - silence, a restart, or a newer epoch without such a word never moves a horizon on;
//! - a worker is answered only until the horizon of its own shard, and of those of its tasks, plus
//!   `patience_ms`: `cancel_s` less what a lease takes. No owner answers later than that after it lost
//!   its shard, which is what a new owner of a silent machine waits for.
use crate::guards::{holds, Guard};
use crate::ids::{Epoch, JobId, NodeIdx, Shard, Timestamp};
use crate::shard::{at_least, at_most, ShardView};
use leaddeal_wire::mesh::{NodeHeartbeat, ShardAssertion, Stamp};
use std::collections::{HashMap, VecDeque};

/// What was cancelled is remembered for so long beyond what a cancellation may take.
const KEEP_MS: u64 = 60_000;
/// A word names at most this many cancellations; with more to tell it is not whole.
const MOST_NAMED: usize = 400;
/// An owner that has said nothing for so long is not waited for: the store is read.
const STALE_MS: u64 = 3000;

/// Whose word a cancellation rests on: this epoch's, or the store's, which nobody takes back.
const STORED: Epoch = Epoch(u64::MAX);

#[derive(Clone, Copy, Debug)]
struct Cancellation {
    by: Epoch,
    at: Timestamp,
}

/// A cancellation of a shard that is acted for here, by its number.
#[derive(Clone, Copy, Debug)]
struct LoggedCancellation {
    number: u64,
    job: JobId,
    at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct ShardHorizon {
    horizon: Option<Timestamp>,
    /// Who spoke for it last: under which epoch, and after which of our times.
    spoken: Option<(Epoch, Timestamp)>,
    /// When its owner, or the store, last said all without doubt.
    sure: Option<Timestamp>,
    /// Cancellations up to this number of that epoch are known.
    acknowledged: (Epoch, u64),
    /// Of our own, while we act for it.
    log: VecDeque<LoggedCancellation>,
    numbered: u64,
    /// Nothing was done by processes of this node before under a newer epoch; none: not read yet.
    floor: Option<Epoch>,
}

#[derive(Clone, Debug, Default)]
struct PeerStatements {
    /// Its newest stamp.
    stamp: Option<Stamp>,
    /// By shard: it acted under no newer epoch than this, said after that time of ours.
    vouched: Vec<(Epoch, Timestamp)>,
    /// What it has heeded of our shards.
    acknowledged: Vec<(Epoch, u64)>,
}

/// A shard that this node acts for and whose coordinator knows all: its epoch, and for how long the
/// lease has been in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnedShard {
    pub epoch: Epoch,
    pub doubt_ms: u64,
}

#[derive(Debug)]
pub struct Horizons {
    me: NodeIdx,
    boot: u64,
    patience_ms: u64,
    keep_ms: u64,
    over: HashMap<JobId, Cancellation>,
    /// Learned since they were last taken.
    fresh: Vec<JobId>,
    shards: Vec<ShardHorizon>,
    peers: Vec<PeerStatements>,
}

/// How long after a shard's horizon workers may be answered, for these settings.
pub fn patience_ms(cancel_ms: u64, worker_lease_ms: u64) -> u64 {
    at_most(cancel_ms).saturating_sub(at_least(worker_lease_ms))
}

impl Horizons {
    pub fn new(
        me: NodeIdx,
        boot: u64,
        nodes: usize,
        cancel_ms: u64,
        worker_lease_ms: u64,
    ) -> Horizons {
        Horizons {
            me,
            boot,
            patience_ms: patience_ms(cancel_ms, worker_lease_ms),
            keep_ms: cancel_ms + KEEP_MS,
            over: HashMap::new(),
            fresh: Vec::new(),
            shards: vec![ShardHorizon::default(); nodes],
            peers: vec![PeerStatements::default(); nodes],
        }
    }

    pub fn patience_ms(&self) -> u64 {
        self.patience_ms
    }

    /// Whether an answer now keeps no task of a cancelled job of this shard alive for too long.
    pub fn permits(&self, shard: Shard, now: Timestamp) -> bool {
        let horizon = self.shards.get(shard.0 as usize).and_then(|s| s.horizon);
        horizon.is_some_and(|h| now < h + self.patience_ms || !holds(Guard::HorizonStops))
    }

    /// How long ago the horizon is; none: nothing is known.
    pub fn behind_ms(&self, shard: Shard, now: Timestamp) -> Option<u64> {
        let horizon = self.shards.get(shard.0 as usize).and_then(|s| s.horizon);
        horizon.map(|h| now.saturating_sub(h))
    }

    /// The revision from which on the store has to be read is that of this time; none: its owner
    /// speaks for the shard.
    pub fn to_be_read(&self, shard: Shard, back_ms: u64, now: Timestamp) -> Option<Timestamp> {
        let s = self.shards.get(shard.0 as usize)?;
        let silent = s.sure.is_none_or(|at| now >= at + STALE_MS);
        silent.then(|| s.horizon.unwrap_or(now).saturating_sub(back_ms))
    }

    pub fn is_over(&self, job: JobId) -> bool {
        self.over.contains_key(&job)
    }

    /// Jobs learned to be over since this was last asked.
    pub fn take_fresh(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.fresh)
    }

    fn learn(&mut self, job: JobId, by: Epoch, now: Timestamp) {
        if self.over.get(&job).is_none_or(|o| o.by < by) {
            self.over.insert(job, Cancellation { by, at: now });
            self.fresh.push(job);
        }
    }

    /// The owner under this epoch, which is us, writes that the job is cancelled, or found it so.
    /// Named before it is known to be written: whoever reads the store may tell of it first.
    pub fn cancelled(&mut self, shard: Shard, epoch: Epoch, job: JobId, now: Timestamp) {
        self.learn(job, epoch, now);
        let shard = self.shards.get_mut(shard.0 as usize);
        if let Some(s) = shard.filter(|s| s.log.iter().all(|l| l.job != job)) {
            s.numbered += 1;
            s.log.push_back(LoggedCancellation { number: s.numbered, job, at: now });
        }
    }

    /// The owner under this epoch has work placed for the job: what an owner before it wanted to write
    /// was not written in time, and never will be.
    pub fn goes_on(&mut self, job: JobId, epoch: Epoch) {
        if self.over.get(&job).is_some_and(|o| o.by < epoch) {
            self.over.remove(&job);
        }
    }

    /// We act for the shard under a new epoch.
    pub fn begin(&mut self, shard: Shard) {
        if let Some(s) = self.shards.get_mut(shard.0 as usize) {
            s.log.clear();
            s.numbered = 0;
        }
    }

    /// The store was read, asked at that time, and these jobs are over.
    pub fn stored(&mut self, jobs: impl IntoIterator<Item = JobId>, now: Timestamp) {
        for job in jobs {
            self.learn(job, STORED, now);
        }
    }

    /// All that the store held of the shard at that time was read.
    pub fn read(&mut self, shard: Shard, asked: Timestamp) {
        if let Some(s) = self.shards.get_mut(shard.0 as usize) {
            s.horizon = s.horizon.max(Some(asked));
            s.sure = s.sure.max(Some(asked));
        }
    }

    /// This process has read the shard's key for the first time: it had this version, or at this
    /// revision it was not there.
    pub fn first_seen(&mut self, shard: Shard, revision: u64) {
        if let Some(s) = self.shards.get_mut(shard.0 as usize) {
            s.floor.get_or_insert(Epoch(revision));
        }
    }

    /// A beat of a sibling, after what it says of owners was taken in. True: a process that was not
    /// heard before, which waits for our stamp.
    pub fn hear(
        &mut self,
        from: NodeIdx,
        b: &NodeHeartbeat,
        view: &[ShardView],
        now: Timestamp,
    ) -> bool {
        let Some(peer) = self.peers.get_mut(from.0 as usize) else { return false };
        let new = peer.stamp.is_none_or(|s| s.boot != b.stamp.boot);
        if new {
            *peer = PeerStatements::default();
        }
        peer.stamp = Some(b.stamp);
        let n = self.shards.len();
        peer.acknowledged = vec![(Epoch(0), 0); n];
        for &(shard, epoch, number) in &b.acknowledged {
            if let Some(h) = peer.acknowledged.get_mut(shard as usize) {
                *h = (Epoch(epoch), number);
            }
        }
        // Said after we sent what it echoes. Nothing of the future is believed.
        let said = b.echo.filter(|e| e.boot == self.boot && e.at <= now).map(|e| e.at);
        let said = said.map(|at| if holds(Guard::HorizonEchoed) { at } else { now });
        if let Some(said) = said.filter(|_| b.newest.len() == n) {
            peer.vouched = b.newest.iter().map(|&e| (Epoch(e), said)).collect();
        }
        for w in &b.assertions {
            self.word(w, view, said, now);
        }
        new
    }

    fn word(
        &mut self,
        w: &ShardAssertion,
        view: &[ShardView],
        said: Option<Timestamp>,
        now: Timestamp,
    ) {
        let (i, epoch) = (w.shard as usize, Epoch(w.epoch));
        let newest = view.get(i).and_then(|v| v.newest_owner).map_or(Epoch(0), |o| o.epoch);
        let Some(s) = self.shards.get_mut(i).filter(|_| epoch >= newest) else { return };
        let acknowledged = if s.acknowledged.0 == epoch { s.acknowledged.1 } else { 0 };
        let no_gap = w.after <= acknowledged;
        if no_gap {
            s.acknowledged = (epoch, acknowledged.max(w.up_to));
        }
        if let Some(said) = said.filter(|_| no_gap && w.complete) {
            s.spoken = Some((epoch, said));
            // Until when its lease was certain, by a clock that may be slow.
            let in_doubt = w.doubt_ms > 0 && holds(Guard::HorizonDoubt);
            let doubt = if in_doubt { at_least(w.doubt_ms) } else { 0 };
            let sure = said.checked_sub(doubt);
            s.horizon = s.horizon.max(sure);
            s.sure = s.sure.max(sure.filter(|_| doubt == 0));
        }
        if holds(Guard::BeatsName) {
            for &job in &w.cancelled {
                self.learn(JobId(job), epoch, now);
            }
        }
    }

    /// Time has passed, or something was heard; `mine`: what this node acts for, by shard.
    pub fn advance(&mut self, mine: &[Option<OwnedShard>], view: &[ShardView], now: Timestamp) {
        for (i, s) in self.shards.iter_mut().enumerate() {
            if let Some(m) = mine.get(i).copied().flatten() {
                s.spoken = Some((m.epoch, now));
                let doubt_ms = if holds(Guard::HorizonDoubt) { m.doubt_ms } else { 0 };
                s.horizon = s.horizon.max(now.checked_sub(doubt_ms));
                if m.doubt_ms == 0 {
                    s.sure = Some(now);
                }
            }
            // In doubt: nobody else has acted under a newer epoch, as all others say.
            let Some((epoch, said)) = s.spoken else { continue };
            let newest = view.get(i).and_then(|v| v.newest_owner).map_or(Epoch(0), |o| o.epoch);
            let floor = s.floor.is_none_or(|f| f > epoch) && holds(Guard::HorizonFloor);
            if newest > epoch || floor {
                continue;
            }
            let others = self.peers.iter().enumerate().filter(|p| p.0 != self.me.0 as usize);
            let mut vouched = others.map(|(_, p)| {
                let word = p.vouched.get(i).filter(|v| v.0 <= epoch);
                word.map(|v| v.1)
            });
            // One that says nothing, or has seen a newer one, leaves it where it is.
            let all = vouched.try_fold(said, |a, v| Some(a.min(v?)));
            let all = if holds(Guard::HorizonVouched) { all } else { Some(said) };
            s.horizon = s.horizon.max(all);
        }
    }

    /// What was cancelled long ago is forgotten.
    pub fn expire(&mut self, now: Timestamp) {
        let keep = self.keep_ms;
        self.over.retain(|_, o| now < o.at + keep);
        for s in &mut self.shards {
            while s.log.front().is_some_and(|l| now >= l.at + keep) {
                s.log.pop_front();
            }
        }
    }

    /// What to tell a sibling: adds our stamp and echo, what we vouch for, and our words.
    pub fn tell(
        &self,
        to: NodeIdx,
        mine: &[Option<OwnedShard>],
        view: &[ShardView],
        now: Timestamp,
        b: &mut NodeHeartbeat,
    ) {
        b.stamp = Stamp { boot: self.boot, at: now };
        let Some(peer) = self.peers.get(to.0 as usize) else { return };
        b.echo = peer.stamp;
        let newest = |(s, v): (&ShardHorizon, &ShardView)| {
            let last = v.newest_owner.map_or(0, |o| o.epoch.0);
            let floor =
                if holds(Guard::HorizonFloor) { s.floor } else { s.floor.or(Some(Epoch(0))) };
            floor.map(|f| f.0.max(last))
        };
        let all: Option<Vec<u64>> = self.shards.iter().zip(view).map(newest).collect();
        b.newest = all.unwrap_or_default();
        let acknowledged = self.shards.iter().enumerate().filter(|(_, s)| s.acknowledged.1 > 0);
        b.acknowledged =
            acknowledged.map(|(i, s)| (i as u8, s.acknowledged.0 .0, s.acknowledged.1)).collect();
        for (i, (s, m)) in self.shards.iter().zip(mine).enumerate() {
            let Some(m) = m else { continue };
            let acknowledged =
                peer.acknowledged.get(i).filter(|h| h.0 == m.epoch).map_or(0, |h| h.1);
            let untold = s.log.iter().filter(|l| l.number > acknowledged);
            let named: Vec<&LoggedCancellation> = untold.take(MOST_NAMED).collect();
            let up_to = named.last().map_or(acknowledged, |l| l.number);
            b.assertions.push(ShardAssertion {
                shard: i as u8,
                epoch: m.epoch.0,
                doubt_ms: m.doubt_ms,
                after: acknowledged,
                up_to,
                complete: s.log.back().is_none_or(|l| l.number <= up_to),
                cancelled: named.iter().map(|l| l.job.0).collect(),
            });
        }
    }
}

#[cfg(test)]
mod tests;
