//! Rents and returns machines for all participants, from the owner of one fixed shard.
use crate::context::{Context, Operation, ProvisionerOperation};
use crate::ids::{Epoch, Shard, Timestamp, TypeIdx, ZoneIdx, PROVISIONER_SHARD};
use crate::io::{CloudCall, CloudResult, LogLevel};
use crate::names::{older, Resources};
use leaddeal_wire::cloud::{Instance, InstanceRequest, InstanceStatus};
use leaddeal_wire::mesh::{MachineInfo, ShardMessage, UnmetDemand};
use leaddeal_wire::user::{Kind, Priority};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

mod boot_times;
mod instance_requests;

use boot_times::{BootLocation, BootTimes};
use instance_requests::{InstanceRequests, RequestOutcome, MOST_A_CALL};

const LIST_MS: u64 = 3000;
const PLAN_MS: u64 = 1000;
/// Requests of one plan; the next one is made from what is known by then.
const PLANNED: usize = 8;
/// Machines that a plan asks for at most for one job that can wait.
const LOW_AT_ONCE: u32 = 8;
/// So many times as dear counts a machine where several others have not come up in time.
const TROUBLED: f64 = 2.0;
/// A refusal says that there is nothing to be had for about this long.
const REFUSED_MS: u64 = 20_000;

#[derive(Clone, Debug)]
struct Booting {
    type_name: String,
    zone: String,
    spot: bool,
    since: Timestamp,
}

/// What a participant has told of its machines.
#[derive(Debug, Default)]
struct ParticipantView {
    /// When its last message came, and that one's number.
    at: Timestamp,
    serial: u64,
    /// With when each was told.
    machines: BTreeMap<String, (Timestamp, MachineInfo)>,
}

#[derive(Debug)]
pub struct Provisioner {
    epoch: Epoch,
    since: Timestamp,
    lacks: BTreeMap<Shard, (Timestamp, Vec<UnmetDemand>)>,
    participants: BTreeMap<Shard, ParticipantView>,
    booting: BTreeMap<String, Booting>,
    listed: BTreeMap<String, Instance>,
    page: BTreeMap<String, Instance>,
    list_in_flight: bool,
    /// No call to the cloud before this time: its limit is kept to.
    next_call: Timestamp,
    list_at: Timestamp,
    /// Last complete list, and when the call for it was sent.
    list_known: bool,
    plan_at: Timestamp,
    instance_requests: InstanceRequests,
    boot_times: BootTimes,
    /// Spent on machines that never came up, in the prices' unit.
    vain: f64,
    refused: HashMap<(String, String, bool), Timestamp>,
    draining: BTreeMap<String, Timestamp>,
    to_release: BTreeSet<String>,
    releasing: Vec<String>,
    release_retry: Timestamp,
    /// Never reported though listed as running, by name, since when.
    silent: BTreeMap<String, Timestamp>,
    gone: BTreeSet<String>,
    /// Machines up to this name were there before the service: the operator's own.
    base: Option<String>,
    base_asked: bool,
    prices_at: Timestamp,
}

impl Booting {
    fn of(rent: &InstanceRequest, since: Timestamp) -> Booting {
        let (type_name, zone) = (rent.type_name.clone(), rent.zone.clone());
        Booting { type_name, zone, spot: rent.spot, since }
    }

    fn place(&self) -> BootLocation {
        (self.type_name.clone(), self.zone.clone())
    }
}

/// What the catalog says that a boot of this type takes.
fn said_ms(ctx: &Context, type_name: &str) -> u64 {
    let kind = ctx.names.type_idx(type_name);
    (kind.map_or(60.0, |i| ctx.names.catalog[i.0 as usize].boot_s).max(0.0) * 1000.0) as u64
}

/// A machine that is coming up, or asked for, with the room that nobody's lack has taken.
#[derive(Clone, Debug)]
struct PendingInstance {
    kind: TypeIdx,
    zone: Option<ZoneIdx>,
    spot: bool,
    room: Resources,
}

impl PendingInstance {
    fn of(ctx: &Context, b: &Booting) -> Option<PendingInstance> {
        let kind = ctx.names.type_idx(&b.type_name)?;
        let (room, zone) = (ctx.names.room_of_type(kind), ctx.names.zone(&b.zone));
        Some(PendingInstance { kind, zone, spot: b.spot, room })
    }

    /// Takes room for at most `left` tasks of a lack; `zones`: how many more each zone may have.
    fn take(
        &mut self,
        ctx: &Context,
        l: &UnmetDemand,
        need: Resources,
        left: u64,
        zones: &mut [u64],
    ) -> u64 {
        let zone = self.zone.and_then(|z| zones.get_mut(z.0 as usize));
        let Some(zone) = zone.filter(|z| **z > 0) else { return 0 };
        let n = self.room.fits(need).min(left).min(*zone);
        if n == 0 || !ctx.names.allows(&l.shape, self.kind, self.spot) {
            return 0;
        }
        self.room.sub(need, n);
        *zone -= n;
        n
    }
}

impl Provisioner {
    pub fn new(epoch: Epoch, now: Timestamp) -> Provisioner {
        Provisioner {
            epoch,
            since: now,
            lacks: BTreeMap::new(),
            participants: BTreeMap::new(),
            booting: BTreeMap::new(),
            listed: BTreeMap::new(),
            page: BTreeMap::new(),
            list_in_flight: false,
            next_call: now,
            list_at: now,
            list_known: false,
            plan_at: now,
            instance_requests: InstanceRequests::default(),
            boot_times: BootTimes::default(),
            vain: 0.0,
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

    pub fn handle(&mut self, ctx: &mut Context, from: Shard, msg: ShardMessage) {
        match msg {
            ShardMessage::UnmetDemand { lacks } => {
                self.lacks.insert(from, (ctx.now, lacks));
            }
            ShardMessage::Inventory { serial, first, machines, gone } => {
                let view = self.participants.entry(from).or_default();
                if !first && view.serial.checked_add(1) != Some(serial) {
                    ctx.send(PROVISIONER_SHARD, from, ShardMessage::ResendInventory);
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
            ShardMessage::Drained { machine } => {
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

impl Provisioner {
    pub fn cloud(&mut self, ctx: &mut Context, what: ProvisionerOperation, result: CloudResult) {
        let now = ctx.now;
        match (what, result) {
            (ProvisionerOperation::List, CloudResult::InstanceList(l)) => {
                self.list_in_flight = false;
                let last = l.machines.last().map(|m| m.id.clone());
                for m in l.machines {
                    self.page.insert(m.id.clone(), m);
                }
                if let (true, Some(after)) = (l.more, last) {
                    self.list_in_flight = true;
                    self.next_call = self.next_call.max(now) + ctx.config.cloud_gap_ms;
                    ctx.cloud(
                        Operation::Provisioner(self.epoch, ProvisionerOperation::List),
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
            (ProvisionerOperation::List, _) => {
                self.list_in_flight = false;
                self.page.clear();
                self.list_at = now + 2000;
            }
            (ProvisionerOperation::Launch(number), result) => {
                match self.instance_requests.take(now, number, result) {
                    RequestOutcome::Machines(rent, names) => {
                        if (names.len() as u32) < rent.count {
                            self.refuse(now, &rent);
                        }
                        ctx.effects.log(LogLevel::Info, "rented", || {
                            format!(
                                "{} {} {} spot={} {names:?}",
                                rent.request, rent.type_name, rent.zone, rent.spot
                            )
                        });
                        for n in names {
                            self.booting.insert(n, Booting::of(&rent, now));
                        }
                        self.plan_soon(now);
                    }
                    RequestOutcome::Nothing(rent) => {
                        self.refuse(now, &rent);
                        // Something else may be had at once.
                        self.plan_soon(now);
                    }
                    RequestOutcome::NotYet => {}
                }
            }
            (ProvisionerOperation::Release, result) => {
                let names = std::mem::take(&mut self.releasing);
                if matches!(result, CloudResult::Released) {
                    for n in names {
                        ctx.effects.log(LogLevel::Info, "released", || n.clone());
                        self.booting.remove(&n);
                        self.listed.remove(&n);
                        self.gone.insert(n.clone());
                        let shard = ctx.shard_of_machine(&n);
                        ctx.send(PROVISIONER_SHARD, shard, ShardMessage::Released { machine: n });
                    }
                } else {
                    self.release_retry = now + 1000;
                    self.to_release.extend(names);
                }
            }
        }
    }

    fn plan_soon(&mut self, now: Timestamp) {
        self.plan_at = self.plan_at.min(now);
    }

    fn refuse(&mut self, now: Timestamp, r: &InstanceRequest) {
        self.refused.insert((r.type_name.clone(), r.zone.clone(), r.spot), now + REFUSED_MS);
    }

    /// Whether the machine's participant has heard of its worker.
    fn reports(
        participants: &BTreeMap<Shard, ParticipantView>,
        ctx: &Context,
        machine: &str,
    ) -> bool {
        let participant = participants.get(&ctx.shard_of_machine(machine));
        participant.is_some_and(|p| p.machines.contains_key(machine))
    }

    fn check_list(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        let participants = &self.participants;
        let mut release = Vec::new();
        for (name, l) in &self.listed {
            let place = (l.type_name.clone(), l.zone.clone());
            let given_up_ms = self.boot_times.given_up_ms(&place, said_ms(ctx, &l.type_name));
            let overdue = l.age_s * 1000.0 > given_up_ms as f64;
            match l.status {
                InstanceStatus::Failed => release.push(name.clone()),
                // Never came up, and is charged until it is returned.
                InstanceStatus::Starting if overdue && !Self::reports(participants, ctx, name) => {
                    if !self.to_release.contains(name) && !self.releasing.contains(name) {
                        let kind = ctx.names.type_idx(&l.type_name);
                        let price = kind.map_or(0.0, |i| ctx.names.price(i, l.spot));
                        self.vain += price * l.age_s / 3600.0;
                        let (at, vain) = (&place, self.vain);
                        ctx.effects.log(LogLevel::Info, "never_up", || {
                            format!(
                                "{name} {} {} after {:.0} s, spent on such {vain:.2}",
                                at.0, at.1, l.age_s
                            )
                        });
                    }
                    release.push(name.clone());
                }
                InstanceStatus::Starting => {
                    let age = (l.age_s * 1000.0) as u64;
                    self.booting.entry(name.clone()).or_insert_with(|| Booting {
                        type_name: l.type_name.clone(),
                        zone: l.zone.clone(),
                        spot: l.spot,
                        since: now.saturating_sub(age),
                    });
                }
                InstanceStatus::Running => {}
            }
            if l.status == InstanceStatus::Running && !Self::reports(participants, ctx, name) {
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
        let lag = ctx.config.list_lag_ms * 2 + 5000;
        self.booting.retain(|n, b| {
            !Self::reports(participants, ctx, n) && (listed.contains_key(n) || now < b.since + lag)
        });
        self.to_release.extend(release);
        if self.base.is_none() && !self.base_asked {
            self.base_asked = true;
            let newest = self.listed.keys().max_by_key(|k| (k.len(), (*k).clone())).cloned();
            ctx.find_base(newest.unwrap_or_default());
        }
    }

    pub fn tick(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        if !ctx.valid {
            return;
        }
        if !self.list_in_flight && now >= self.list_at && now >= self.next_call {
            self.next_call = now + ctx.config.cloud_gap_ms;
            self.list_in_flight = true;
            self.list_at = now + LIST_MS;
            ctx.cloud(
                Operation::Provisioner(self.epoch, ProvisionerOperation::List),
                CloudCall::List { after: None },
            );
        }
        if now >= self.prices_at {
            self.prices_at = now + 60_000;
            ctx.cloud(Operation::Catalog, CloudCall::Catalog);
        }
        if now >= self.next_call {
            if let Some((number, rent)) = self.instance_requests.send(now) {
                self.next_call = now + ctx.config.cloud_gap_ms;
                ctx.cloud(
                    Operation::Provisioner(self.epoch, ProvisionerOperation::Launch(number)),
                    CloudCall::Launch(rent),
                );
            }
        }
        let may = now >= self.release_retry && now >= self.next_call;
        if self.releasing.is_empty() && !self.to_release.is_empty() && may {
            self.next_call = now + ctx.config.cloud_gap_ms;
            let names: Vec<String> = self.to_release.iter().take(100).cloned().collect();
            for n in &names {
                self.to_release.remove(n);
            }
            self.releasing.clone_from(&names);
            ctx.cloud(
                Operation::Provisioner(self.epoch, ProvisionerOperation::Release),
                CloudCall::Release(names),
            );
        }
        if now >= self.plan_at {
            self.plan_at = now + PLAN_MS;
            self.plan(ctx);
        }
    }

    fn plan(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        // Every participant must have spoken lately; otherwise nothing is known of its free room.
        for s in ctx.shards() {
            let fresh = |t: Option<Timestamp>| t.is_some_and(|t| now < t + 4000);
            if !fresh(self.participants.get(&s).map(|p| p.at)) || !self.list_known {
                return;
            }
        }
        self.refused.retain(|_, t| *t > now);
        self.return_idle(ctx);
        if let Some(base) = &self.base {
            for s in ctx.shards() {
                ctx.send(
                    PROVISIONER_SHARD,
                    s,
                    ShardMessage::OperatorMachines { newest: base.clone() },
                );
            }
        }
        // What waits to be sent was planned from what is known now.
        if self.instance_requests.unsent() || self.instance_requests.room() == 0 {
            return;
        }
        for rent in self.wanted(ctx) {
            self.instance_requests.add(self.epoch, rent, now);
        }
    }

    /// Whether a machine has been booting for so long that nobody counts on it any more.
    fn late(&self, ctx: &Context, b: &Booting) -> bool {
        let counts_ms = self.boot_times.counts_ms(&b.place(), said_ms(ctx, &b.type_name));
        ctx.now >= b.since + counts_ms
    }

    /// Learns from machines that came up, and notes where they are late.
    fn see_boots(&mut self, ctx: &Context) {
        let (participants, boot_times) = (&self.participants, &mut self.boot_times);
        self.booting.retain(|n, b| {
            let up = Self::reports(participants, ctx, n);
            if up {
                boot_times.came_up(&b.place(), ctx.now, ctx.now.saturating_sub(b.since));
            }
            !up
        });
        let late: Vec<BootLocation> =
            self.booting.values().filter(|b| self.late(ctx, b)).map(Booting::place).collect();
        self.boot_times.set_late(late.into_iter());
    }

    /// What to rent, the most urgent first: each lack takes what is coming up, then what is asked
    /// for in this plan, then asks for more.
    fn wanted(&mut self, ctx: &Context) -> Vec<InstanceRequest> {
        self.see_boots(ctx);
        let counts = |b: &&Booting| !self.late(ctx, b);
        let mut coming: Vec<PendingInstance> = self
            .booting
            .values()
            .filter(counts)
            .filter_map(|b| PendingInstance::of(ctx, b))
            .collect();
        for (rent, since) in self.instance_requests.coming() {
            let one = PendingInstance::of(ctx, &Booting::of(rent, since));
            coming.extend(one.into_iter().flat_map(|c| (0..rent.count).map(move |_| c.clone())));
        }
        let mut lacks: Vec<&UnmetDemand> = self.lacks.values().flat_map(|l| l.1.iter()).collect();
        lacks.sort_by_key(|l| (Reverse(l.shape.priority), Reverse(l.waited_ms)));
        let mut rents: Vec<InstanceRequest> = Vec::new();
        for l in lacks {
            let need = Resources::of(&l.shape);
            let mut left = u64::from(l.count);
            let mut zones: Vec<u64> = l.zone_room.iter().map(|&r| u64::from(r)).collect();
            if l.shape.kind == Kind::Gang && l.count > 1 {
                let Some(z) = self.zone_for(ctx, l, need, &zones, &coming) else { continue };
                (0..zones.len()).filter(|&i| i != z).for_each(|i| zones[i] = 0);
            }
            for c in &mut coming {
                if left == 0 {
                    break;
                }
                left -= c.take(ctx, l, need, left, &mut zones);
            }
            // Work that can wait runs on few machines for longer rather than on many at once.
            let most = if l.shape.priority == Priority::Low { LOW_AT_ONCE } else { MOST_A_CALL };
            let mut machines = u64::from(most);
            while left > 0 && l.waited_ms >= 300 && machines > 0 {
                let Some(rent) = self.choose(ctx, l, need, left, &zones) else {
                    break;
                };
                let one = PendingInstance::of(ctx, &Booting::of(&rent, 0));
                let Some(one) = one else { break };
                let count = u64::from(rent.count).min(machines);
                machines -= count;
                for _ in 0..count {
                    let mut c = one.clone();
                    left -= c.take(ctx, l, need, left, &mut zones);
                    coming.push(c);
                }
                let same = rents.iter_mut().find(|r| {
                    (&r.type_name, &r.zone, r.spot) == (&rent.type_name, &rent.zone, rent.spot)
                        && r.count + count as u32 <= MOST_A_CALL
                });
                match same {
                    Some(r) => r.count += count as u32,
                    None => rents.push(InstanceRequest { count: count as u32, ..rent }),
                }
            }
            if rents.len() >= self.instance_requests.room().min(PLANNED) {
                break;
            }
        }
        rents
    }

    /// The zone in which a gang of several tasks is to get room: where most of it is coming up, if
    /// the rest can be had there. (Found at twice a fleet: half of a gang's room was rented in each
    /// of two zones, and the gang waited in front of both.)
    fn zone_for(
        &self,
        ctx: &Context,
        l: &UnmetDemand,
        need: Resources,
        zones: &[u64],
        coming: &[PendingInstance],
    ) -> Option<usize> {
        let count = u64::from(l.count);
        let mut here = vec![0; zones.len()];
        for c in coming.iter().filter(|c| ctx.names.allows(&l.shape, c.kind, c.spot)) {
            if let Some(h) = c.zone.and_then(|z| here.get_mut(z.0 as usize)) {
                *h = u64::saturating_add(*h, c.room.fits(need));
            }
        }
        let mut order: Vec<usize> = (0..zones.len()).filter(|&z| zones[z] >= count).collect();
        order.sort_by_key(|&z| Reverse(here[z].min(count)));
        order.into_iter().find(|&z| {
            let only: Vec<u64> = (0..zones.len()).map(|i| if i == z { count } else { 0 }).collect();
            let rest = count.saturating_sub(here[z]);
            rest == 0 || self.choose(ctx, l, need, rest, &only).is_some()
        })
    }

    /// The cheapest way to get room for `left` tasks.
    fn choose(
        &self,
        ctx: &Context,
        l: &UnmetDemand,
        need: Resources,
        left: u64,
        zones: &[u64],
    ) -> Option<InstanceRequest> {
        let mut best: Option<(f64, InstanceRequest)> = None;
        for (i, t) in ctx.names.catalog.iter().enumerate() {
            let idx = crate::ids::TypeIdx(i as u8);
            let fits = ctx.names.room_of_type(idx).fits(need);
            if fits == 0 {
                continue;
            }
            for z in &t.zones {
                let room = ctx.names.zone(z).and_then(|z| zones.get(z.0 as usize)).copied();
                let room = room.unwrap_or(0).min(left);
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
                    if !ctx.names.affordable(&l.shape, idx, spot, l.urgent) {
                        continue;
                    }
                    let used = fits.min(room);
                    let place = (t.name.clone(), z.clone());
                    // Elsewhere, if that is not much dearer.
                    let trouble = if self.boot_times.in_trouble(&place) { TROUBLED } else { 1.0 };
                    let cost = price * trouble / used as f64;
                    if best.as_ref().is_none_or(|b| cost < b.0) {
                        let count = room.div_ceil(fits).clamp(1, u64::from(MOST_A_CALL)) as u32;
                        let rent = InstanceRequest {
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
        best.map(|b| b.1)
    }

    fn return_idle(&mut self, ctx: &mut Context) {
        let now = ctx.now;
        self.draining.retain(|_, t| *t + 10_000 > now);
        let mut drains = Vec::new();
        for view in self.participants.values() {
            for (at, m) in view.machines.values().filter(|(_, m)| m.dead || m.idle_ms.is_some()) {
                let idle_ms = m.idle_ms.map(|i| i.saturating_add(now.saturating_sub(*at)));
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
        let most = 5 + self.listed.len() / 100;
        for machine in drains.into_iter().take(most) {
            self.draining.insert(machine.clone(), now);
            let shard = ctx.shard_of_machine(&machine);
            ctx.send(PROVISIONER_SHARD, shard, ShardMessage::Drain { machine });
        }
    }
}
