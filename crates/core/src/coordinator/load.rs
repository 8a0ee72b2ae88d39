//! Loading a seat: decisions, jobs, done tasks, in this order.
use super::{Coordinator, Load};
use crate::ctx::{Ctx, OpKind};
use crate::ids::{Attempt, JobId, ZoneIdx};
use crate::io::{StoreCall, StoreResult};
use crate::jobs::{wire_shape, Job};
use crate::keys;
use crate::placed::Placement;
use leaddeal_wire::mesh::Phase;
use leaddeal_wire::state::Item;
use leaddeal_wire::user::{self};
use serde_json::Value;
use std::sync::Arc;

impl Coordinator {
    pub(super) fn load_step(&mut self, ctx: &mut Ctx) {
        if self.loading || ctx.now < self.retry_load_at {
            return;
        }
        let prefix = match self.load {
            Load::Decisions => keys::decision_prefix(self.seat),
            Load::Jobs => keys::job_prefix(self.seat),
            Load::Runs => keys::run_prefix(self.seat),
            Load::Ready => return,
        };
        self.loading = true;
        ctx.store(
            OpKind::Load { seat: self.seat, epoch: self.epoch },
            StoreCall::List { prefix, after: self.after.clone() },
        );
    }

    pub fn loaded(&mut self, ctx: &mut Ctx, result: StoreResult) {
        self.loading = false;
        let StoreResult::Page(page) = result else {
            self.retry_load_at = ctx.now + 300;
            return;
        };
        if matches!(self.load, Load::Jobs) && self.after.is_none() {
            self.watch_from = page.revision;
            self.loaded_from = page.revision;
        }
        self.after = page.items.last().map(|i| i.key.clone()).filter(|_| page.more);
        for item in page.items {
            match self.load {
                Load::Decisions => self.decisions.push(item),
                Load::Jobs => self.job_created(ctx, &item.key, &item.value),
                Load::Runs => self.run_loaded(&item),
                Load::Ready => {}
            }
        }
        if self.after.is_none() {
            self.load = match self.load {
                Load::Decisions => Load::Jobs,
                Load::Jobs => Load::Runs,
                Load::Runs | Load::Ready => Load::Ready,
            };
            if self.ready() {
                self.take_decisions(ctx);
                ctx.wake = true;
                let (s, n) = (self.seat.0, self.jobs.len());
                ctx.out.log(1, "seat_loaded", || format!("seat={s} jobs={n}"));
            }
        }
        self.load_step(ctx);
    }

    pub fn job_created(&mut self, ctx: &mut Ctx, key: &str, value: &Value) {
        let Some(id) = keys::job_of_key(key) else {
            return;
        };
        if self.jobs.contains_key(&id) || self.closed.contains_key(&id) {
            return;
        }
        let Ok(wire) = serde_json::from_value::<user::Job>(value["job"].clone()) else {
            let k = key.to_string();
            ctx.out.log(0, "job_unreadable", || k);
            return;
        };
        let age = ctx.time_ms.saturating_sub(value["at"].as_u64().unwrap_or(ctx.time_ms));
        let shape = ctx.names.shape(&Arc::new(wire_shape(&wire)));
        self.jobs.insert(id, Job::new(id, wire, shape, ctx.now.saturating_sub(age), &ctx.cfg.aims));
        ctx.wake = true;
    }

    pub(super) fn run_loaded(&mut self, item: &Item) {
        let Some((id, chunk)) = item.key.rsplit('/').next().and_then(|s| {
            let (a, b) = s.split_once('.')?;
            Some((JobId(a.parse().ok()?), b.parse::<u32>().ok()?))
        }) else {
            return;
        };
        if let (Some(j), Some(text)) = (self.jobs.get_mut(&id), item.value.as_str()) {
            j.done.add_chunk(chunk, text, j.wire.tasks);
        }
    }

    /// Decisions of older epochs: their winners may be on machines. Of several attempts of a
    /// task only the newest counts; it was decided after the older ones were proven gone.
    pub(super) fn take_decisions(&mut self, ctx: &mut Ctx) {
        for item in std::mem::take(&mut self.decisions) {
            let Some(attempt) = item.value["a"].as_u64().map(Attempt) else {
                continue;
            };
            let round = self.next_round_id();
            self.rounds.insert(round, (item.key.clone(), 0));
            let empty = Vec::new();
            for p in item.value["p"].as_array().unwrap_or(&empty) {
                let (Some(job), Some(task), Some(machine), Some(session), Some(zone)) =
                    (p[0].as_u64(), p[1].as_u64(), p[2].as_str(), p[3].as_u64(), p[4].as_u64())
                else {
                    continue;
                };
                let (id, task) = (JobId(job), task as u32);
                let part = ctx.seat_of_machine(machine);
                let machine = ctx.names.machine(machine);
                let j = self.jobs.entry(id).or_insert_with(|| Job::leftover(id, ctx.names));
                if j.done.get(task) || j.placed.get(task).is_some_and(|o| o.attempt > attempt) {
                    continue;
                }
                let new = Placement {
                    attempt,
                    machine,
                    part,
                    session,
                    zone: ZoneIdx(zone as u8),
                    phase: Phase::Decided,
                    round,
                    placed_at: ctx.now,
                    sent_at: 0,
                    stop: None,
                    adopted: true,
                    team: p[5]
                        .as_u64()
                        .map(|t| (t as u8, p[6].as_u64().unwrap_or(0), p[7].as_u64().unwrap_or(0))),
                };
                if let Some(r) = self.rounds.get_mut(&round) {
                    r.1 += 1;
                }
                if let Some(old) = j.placed.insert(task, new) {
                    self.round_less(old.round);
                }
            }
            if self.rounds.get(&round).is_some_and(|r| r.1 == 0) {
                self.rounds.remove(&round);
                self.finished_rounds.push(item.key);
            }
        }
    }
}
