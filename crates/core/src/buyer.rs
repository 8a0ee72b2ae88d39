//! Rents and returns machines for all parts, from the owner of one fixed seat.
use crate::ctx::{BuyerOp, Ctx, OpKind};
use crate::ids::{Epoch, Now, Seat, BUYER_SEAT};
use crate::io::{CloudCall, CloudResult};
use crate::names::{older, Names, Room};
use leaddeal_wire::cloud::{Listed, ListedStatus, Rent};
use leaddeal_wire::mesh::{Lack, MachineInfo, SeatMsg};
use std::collections::{BTreeMap, BTreeSet, HashMap};

const LIST_MS: u64 = 3000;
const PLAN_MS: u64 = 1000;
/// A refusal says that there is nothing to be had for about this long.
const REFUSED_MS: u64 = 20_000;

#[derive(Clone, Debug)]
struct Booting {
    type_name: String,
    zone: String,
    spot: bool,
    since: Now,
}

#[derive(Clone, Debug)]
struct Asked {
    rent: Rent,
    /// Its outcome is unknown: the same name is asked again until there is an answer.
    unsure: bool,
    retry_at: Now,
    in_flight: bool,
}

/// What a part has told of its machines.
#[derive(Debug, Default)]
struct PartView {
    /// When its last message came, and that one's number.
    at: Now,
    serial: u64,
    /// With when each was told.
    machines: BTreeMap<String, (Now, MachineInfo)>,
}

#[derive(Debug)]
pub struct Buyer {
    epoch: Epoch,
    since: Now,
    next_name: u64,
    lacks: BTreeMap<Seat, (Now, Vec<Lack>)>,
    parts: BTreeMap<Seat, PartView>,
    booting: BTreeMap<String, Booting>,
    listed: BTreeMap<String, Listed>,
    page: BTreeMap<String, Listed>,
    list_in_flight: bool,
    /// No call to the cloud before this time: its limit is kept to.
    next_call: Now,
    list_at: Now,
    /// Last complete list, and when the call for it was sent.
    list_known: bool,
    plan_at: Now,
    asked: Option<Asked>,
    refused: HashMap<(String, String, bool), Now>,
    draining: BTreeMap<String, Now>,
    to_release: BTreeSet<String>,
    releasing: Vec<String>,
    release_retry: Now,
    /// Never reported though listed as running, by name, since when.
    silent: BTreeMap<String, Now>,
    gone: BTreeSet<String>,
    /// Machines up to this name were there before the service: the operator's own.
    base: Option<String>,
    base_asked: bool,
    prices_at: Now,
}

fn type_room(names: &Names, t: &str) -> Option<Room> {
    names.type_idx(t).map(|i| names.room_of_type(i))
}

impl Buyer {
    pub fn new(epoch: Epoch, now: Now) -> Buyer {
        Buyer {
            epoch,
            since: now,
            next_name: 0,
            lacks: BTreeMap::new(),
            parts: BTreeMap::new(),
            booting: BTreeMap::new(),
            listed: BTreeMap::new(),
            page: BTreeMap::new(),
            list_in_flight: false,
            next_call: now,
            list_at: now,
            list_known: false,
            plan_at: now,
            asked: None,
            refused: HashMap::new(),
            draining: BTreeMap::new(),
            to_release: BTreeSet::new(),
            releasing: Vec::new(),
            release_retry: 0,
            silent: BTreeMap::new(),
            gone: BTreeSet::new(),
            base: None,
            base_asked: false,
            prices_at: now + 60_000,
        }
    }

    pub fn handle(&mut self, ctx: &mut Ctx, from: Seat, msg: SeatMsg) {
        match msg {
            SeatMsg::Lacks { lacks } => {
                self.lacks.insert(from, (ctx.now, lacks));
            }
            SeatMsg::Machines { serial, first, machines, gone } => {
                let view = self.parts.entry(from).or_default();
                if !first && serial != view.serial + 1 {
                    ctx.send(BUYER_SEAT, from, SeatMsg::MachinesAgain);
                    return;
                }
                if first {
                    view.machines.clear();
                }
                (view.at, view.serial) = (ctx.now, serial);
                for name in gone {
                    view.machines.remove(&name);
                }
                let told = machines.into_iter().map(|m| (m.machine.clone(), (ctx.now, m)));
                view.machines.extend(told);
            }
            SeatMsg::Drained { machine } => {
                self.draining.remove(&machine);
                self.to_release.insert(machine);
            }
            _ => {}
        }
    }

    /// The name of the newest machine that was there before the service, once it is known.
    pub fn set_base(&mut self, name: Option<String>) {
        self.base_asked = false;
        if let Some(n) = name {
            self.base = Some(n);
        }
    }

    fn is_base(&self, machine: &str) -> bool {
        self.base.as_ref().is_some_and(|b| older(machine, b))
    }
}

impl Buyer {
    pub fn cloud(&mut self, ctx: &mut Ctx, what: BuyerOp, result: CloudResult) {
        let now = ctx.now;
        match (what, result) {
            (BuyerOp::List, CloudResult::Listing(l)) => {
                self.list_in_flight = false;
                let last = l.machines.last().map(|m| m.id.clone());
                for m in l.machines {
                    self.page.insert(m.id.clone(), m);
                }
                if let (true, Some(after)) = (l.more, last) {
                    self.list_in_flight = true;
                    ctx.cloud(
                        OpKind::Buyer(self.epoch, BuyerOp::List),
                        CloudCall::List { after: Some(after) },
                    );
                    return;
                }
                self.listed = std::mem::take(&mut self.page);
                let gone = &self.gone;
                self.listed.retain(|n, _| !gone.contains(n));
                self.list_known = true;
                self.check_list(ctx);
            }
            (BuyerOp::List, _) => {
                self.list_in_flight = false;
                self.page.clear();
                self.list_at = now + 2000;
            }
            (BuyerOp::Rent, result) => {
                let Some(a) = &mut self.asked else { return };
                a.in_flight = false;
                match result {
                    CloudResult::Rented(names) => {
                        let rent = a.rent.clone();
                        if (names.len() as u32) < rent.count {
                            self.refuse(now, &rent);
                        }
                        ctx.out.log(1, "rented", || {
                            format!(
                                "{} {} {} spot={} {names:?}",
                                rent.request, rent.type_name, rent.zone, rent.spot
                            )
                        });
                        for n in names {
                            let b = Booting {
                                type_name: rent.type_name.clone(),
                                zone: rent.zone.clone(),
                                spot: rent.spot,
                                since: now,
                            };
                            self.booting.insert(n, b);
                        }
                        self.asked = None;
                        self.plan_at = now;
                    }
                    CloudResult::NoCapacity => {
                        let rent = a.rent.clone();
                        self.refuse(now, &rent);
                        self.asked = None;
                        // Something else may be had at once.
                        self.plan_at = now;
                    }
                    CloudResult::Refused if !a.unsure => self.asked = None,
                    CloudResult::Refused => a.retry_at = now + 1000,
                    _ => {
                        a.unsure = true;
                        a.retry_at = now + 1000;
                    }
                }
            }
            (BuyerOp::Release, result) => {
                let names = std::mem::take(&mut self.releasing);
                if matches!(result, CloudResult::Released) {
                    for n in names {
                        ctx.out.log(1, "released", || n.clone());
                        self.booting.remove(&n);
                        self.listed.remove(&n);
                        self.gone.insert(n.clone());
                        let seat = ctx.seat_of_machine(&n);
                        ctx.send(BUYER_SEAT, seat, SeatMsg::Released { machine: n });
                    }
                } else {
                    self.release_retry = now + 1000;
                    self.to_release.extend(names);
                }
            }
        }
    }

    fn refuse(&mut self, now: Now, r: &Rent) {
        self.refused.insert((r.type_name.clone(), r.zone.clone(), r.spot), now + REFUSED_MS);
    }

    /// Whether the machine's part has heard of its worker.
    fn reports(parts: &BTreeMap<Seat, PartView>, ctx: &Ctx, machine: &str) -> bool {
        let part = parts.get(&ctx.seat_of_machine(machine));
        part.is_some_and(|p| p.machines.contains_key(machine))
    }

    fn check_list(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        let parts = &self.parts;
        let mut release = Vec::new();
        for (name, l) in &self.listed {
            let boot_ms = ctx
                .names
                .type_idx(&l.type_name)
                .map_or(60.0, |i| ctx.names.catalog[i.0 as usize].boot_s)
                * 1000.0;
            let overdue = l.age_s * 1000.0 > boot_ms * 3.0 + 10_000.0;
            match l.status {
                ListedStatus::Failed => release.push(name.clone()),
                // Never came up, and is charged until it is returned.
                ListedStatus::Starting if overdue && !Self::reports(parts, ctx, name) => {
                    release.push(name.clone());
                }
                ListedStatus::Starting => {
                    let age = (l.age_s * 1000.0) as u64;
                    self.booting.entry(name.clone()).or_insert_with(|| Booting {
                        type_name: l.type_name.clone(),
                        zone: l.zone.clone(),
                        spot: l.spot,
                        since: now.saturating_sub(age),
                    });
                }
                ListedStatus::Running => {}
            }
            if l.status == ListedStatus::Running && !Self::reports(parts, ctx, name) {
                self.silent.entry(name.clone()).or_insert(now);
            } else {
                self.silent.remove(name);
            }
        }
        let listed = &self.listed;
        self.silent.retain(|n, _| listed.contains_key(n));
        for (n, &since) in &self.silent {
            if now > since + 60_000 && now > self.since + 90_000 {
                release.push(n.clone());
            }
        }
        // Rented, then neither listed for long nor heard of: taken before it came up.
        let lag = ctx.cfg.list_lag_ms * 2 + 5000;
        self.booting.retain(|n, b| {
            !Self::reports(parts, ctx, n) && (listed.contains_key(n) || now < b.since + lag)
        });
        self.to_release.extend(release);
        if self.base.is_none() && !self.base_asked {
            self.base_asked = true;
            let newest = self.listed.keys().max_by_key(|k| (k.len(), (*k).clone())).cloned();
            ctx.find_base(newest.unwrap_or_default());
        }
    }

    pub fn tick(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        if !ctx.valid {
            return;
        }
        if !self.list_in_flight && now >= self.list_at && now >= self.next_call {
            self.next_call = now + ctx.cfg.cloud_gap_ms;
            self.list_in_flight = true;
            self.list_at = now + LIST_MS;
            ctx.cloud(OpKind::Buyer(self.epoch, BuyerOp::List), CloudCall::List { after: None });
        }
        if now >= self.prices_at {
            self.prices_at = now + 60_000;
            ctx.cloud(OpKind::Catalog, CloudCall::Catalog);
        }
        if let Some(a) = &mut self.asked {
            if !a.in_flight && now >= a.retry_at && now >= self.next_call {
                self.next_call = now + ctx.cfg.cloud_gap_ms;
                a.in_flight = true;
                let rent = a.rent.clone();
                ctx.cloud(OpKind::Buyer(self.epoch, BuyerOp::Rent), CloudCall::Rent(rent));
            }
        }
        let may = now >= self.release_retry && now >= self.next_call;
        if self.releasing.is_empty() && !self.to_release.is_empty() && may {
            self.next_call = now + ctx.cfg.cloud_gap_ms;
            let names: Vec<String> = self.to_release.iter().take(100).cloned().collect();
            for n in &names {
                self.to_release.remove(n);
            }
            self.releasing.clone_from(&names);
            ctx.cloud(OpKind::Buyer(self.epoch, BuyerOp::Release), CloudCall::Release(names));
        }
        if now >= self.plan_at {
            self.plan_at = now + PLAN_MS;
            self.plan(ctx);
        }
    }

    fn plan(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        // Every part must have spoken lately; otherwise nothing is known of its free room.
        for s in ctx.seats() {
            let fresh = |t: Option<Now>| t.is_some_and(|t| now < t + 4000);
            if !fresh(self.parts.get(&s).map(|p| p.at)) || !self.list_known {
                return;
            }
        }
        self.refused.retain(|_, t| *t > now);
        self.return_idle(ctx);
        if let Some(base) = &self.base {
            for s in ctx.seats() {
                ctx.send(BUYER_SEAT, s, SeatMsg::Base { newest: base.clone() });
            }
        }
        if self.asked.is_some() {
            return;
        }
        // What is coming up takes some of the demand.
        let parts = &self.parts;
        self.booting.retain(|n, _| !Self::reports(parts, ctx, n));
        let mut coming: Vec<(Room, Booting)> = self
            .booting
            .values()
            .filter_map(|b| Some((type_room(ctx.names, &b.type_name)?, b.clone())))
            .collect();
        let mut lacks: Vec<Lack> = self.lacks.values().flat_map(|l| l.1.iter().cloned()).collect();
        lacks
            .sort_by_key(|l| (std::cmp::Reverse(l.shape.priority), std::cmp::Reverse(l.waited_ms)));
        for l in lacks {
            let mut left = u64::from(l.count);
            let need = Room::of(&l.shape);
            for (room, b) in &mut coming {
                let Some(t) = ctx.names.type_idx(&b.type_name) else {
                    continue;
                };
                if left == 0 || !ctx.names.allows(&l.shape, t, b.spot) {
                    continue;
                }
                let zr = ctx.names.zone(&b.zone).and_then(|z| l.zone_room.get(z.0 as usize));
                let n = room.fits(need).min(left).min(u64::from(zr.copied().unwrap_or(0)));
                room.sub(need, n);
                left -= n;
            }
            if left == 0 || l.waited_ms < 300 {
                continue;
            }
            if let Some(rent) = self.choose(ctx, &l, need, left) {
                self.asked = Some(Asked { rent, unsure: false, retry_at: now, in_flight: false });
                return;
            }
        }
    }

    /// The cheapest way to get room for `left` tasks.
    fn choose(&mut self, ctx: &Ctx, l: &Lack, need: Room, left: u64) -> Option<Rent> {
        let mut best: Option<(f64, Rent)> = None;
        for (i, t) in ctx.names.catalog.iter().enumerate() {
            let idx = crate::ids::TypeIdx(i as u8);
            let fits = ctx.names.room_of_type(idx).fits(need);
            if fits == 0 {
                continue;
            }
            for z in &t.zones {
                let room = ctx.names.zone(z).and_then(|z| l.zone_room.get(z.0 as usize)).copied();
                let room = u64::from(room.unwrap_or(0)).min(left);
                if room == 0 {
                    continue;
                }
                for spot in [false, true] {
                    if !ctx.names.allows(&l.shape, idx, spot)
                        || self.refused.contains_key(&(t.name.clone(), z.clone(), spot))
                    {
                        continue;
                    }
                    let price = ctx.names.price(idx, spot);
                    if !ctx.names.affordable(&l.shape, idx, spot, l.pressing) {
                        continue;
                    }
                    let used = fits.min(room);
                    let cost = price / used as f64;
                    if best.as_ref().is_none_or(|b| cost < b.0) {
                        let count = room.div_ceil(fits).clamp(1, 8) as u32;
                        let rent = Rent {
                            request: String::new(),
                            type_name: t.name.clone(),
                            zone: z.clone(),
                            spot,
                            count,
                        };
                        best = Some((cost, rent));
                    }
                }
            }
        }
        let mut rent = best?.1;
        // The epoch makes the name one that no other owner ever uses.
        self.next_name += 1;
        rent.request = format!("r-{}-{}", self.epoch.0, self.next_name);
        Some(rent)
    }

    fn return_idle(&mut self, ctx: &mut Ctx) {
        let now = ctx.now;
        self.draining.retain(|_, t| *t + 10_000 > now);
        let mut drains = Vec::new();
        for view in self.parts.values() {
            for (at, m) in view.machines.values().filter(|(_, m)| m.dead || m.idle_ms.is_some()) {
                let idle_ms = m.idle_ms.map(|i| i + now.saturating_sub(*at));
                if self.gone.contains(&m.machine) || self.to_release.contains(&m.machine) {
                    continue;
                }
                if m.dead {
                    // Not heard from for long: charged, perhaps, and of no use.
                    if self.listed.contains_key(&m.machine) && !self.is_base(&m.machine) {
                        self.to_release.insert(m.machine.clone());
                    }
                    continue;
                }
                let price = ctx
                    .names
                    .type_idx(&m.type_name)
                    .map_or(1.0, |i| ctx.names.catalog[i.0 as usize].price);
                let keep_ms = (60_000.0 * (2.0 / price.max(0.01)).clamp(0.3, 0.7)) as u64;
                if idle_ms.is_some_and(|i| i > keep_ms)
                    && !self.is_base(&m.machine)
                    && self.base.is_some()
                    && !self.draining.contains_key(&m.machine)
                {
                    drains.push(m.machine.clone());
                }
            }
        }
        for machine in drains.into_iter().take(5) {
            self.draining.insert(machine.clone(), now);
            let seat = ctx.seat_of_machine(&machine);
            ctx.send(BUYER_SEAT, seat, SeatMsg::Drain { machine });
        }
    }
}
