//! Names are mapped to dense indices at the gateway.
use crate::ids::{ImageIdx, MachineIdx, TypeIdx, ZoneIdx};
use leaddeal_wire::cloud::{Catalog, MachineType};
use leaddeal_wire::mesh;
use leaddeal_wire::user::{Kind, Priority};
use std::collections::HashMap;
use std::sync::Arc;

#[derive(Default, Debug)]
pub struct Interner {
    by_name: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl Interner {
    pub fn intern(&mut self, s: &str) -> u32 {
        if let Some(&i) = self.by_name.get(s) {
            return i;
        }
        let i = self.names.len() as u32;
        let a: Arc<str> = s.into();
        self.names.push(a.clone());
        self.by_name.insert(a, i);
        i
    }

    pub fn find(&self, s: &str) -> Option<u32> {
        self.by_name.get(s).copied()
    }

    pub fn name(&self, i: u32) -> &str {
        &self.names[i as usize]
    }
}

/// Machines are named in the order of their creation.
pub fn older(machine: &str, newest: &str) -> bool {
    (machine.len(), machine) <= (newest.len(), newest)
}

/// What a task takes or a machine has: thousandths of cores and GPUs, MB.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resources {
    pub cpu: u64,
    pub gpu: u64,
    pub mem: u64,
}

/// Of what there is, rounded down; what tasks take is rounded up.
pub fn thousandths(v: f64) -> u64 {
    (v * 1000.0 + 1e-6).floor() as u64
}

impl Resources {
    /// What a task of this shape takes.
    pub fn of(s: &mesh::Shape) -> Resources {
        Resources { cpu: s.cpu, gpu: s.gpu, mem: s.mem }
    }

    pub fn add(&mut self, o: Resources, n: u64) {
        self.cpu = self.cpu.saturating_add(o.cpu.saturating_mul(n));
        self.gpu = self.gpu.saturating_add(o.gpu.saturating_mul(n));
        self.mem = self.mem.saturating_add(o.mem.saturating_mul(n));
    }

    pub fn sub(&mut self, o: Resources, n: u64) {
        self.cpu = self.cpu.saturating_sub(o.cpu.saturating_mul(n));
        self.gpu = self.gpu.saturating_sub(o.gpu.saturating_mul(n));
        self.mem = self.mem.saturating_sub(o.mem.saturating_mul(n));
    }

    /// How many times `o` fits in.
    pub fn fits(&self, o: Resources) -> u64 {
        let f = |a: u64, b: u64| a.checked_div(b).unwrap_or(u64::MAX);
        f(self.cpu, o.cpu).min(f(self.gpu, o.gpu)).min(f(self.mem, o.mem))
    }
}

/// A task's needs with names resolved.
#[derive(Clone, Debug)]
pub struct Shape {
    pub wire: Arc<mesh::Shape>,
    pub need: Resources,
    pub image: ImageIdx,
}

impl Shape {
    /// Stays on its machine for long: a service, or GPU work.
    pub fn lasting(&self) -> bool {
        self.wire.kind == Kind::Service || self.need.gpu > 0
    }
}

#[derive(Default, Debug)]
pub struct Names {
    machines: Interner,
    images: Interner,
    pub zones: Vec<String>,
    pub catalog: Vec<MachineType>,
    /// Room of each type in the catalog: asked for at every look at a machine.
    rooms: Vec<Resources>,
}

impl Names {
    pub fn machine(&mut self, s: &str) -> MachineIdx {
        MachineIdx(self.machines.intern(s))
    }

    pub fn find_machine(&self, s: &str) -> Option<MachineIdx> {
        self.machines.find(s).map(MachineIdx)
    }

    pub fn machine_name(&self, m: MachineIdx) -> &str {
        self.machines.name(m.0)
    }

    pub fn zone(&self, s: &str) -> Option<ZoneIdx> {
        self.zones.iter().position(|z| z == s).map(|i| ZoneIdx(i as u8))
    }

    pub fn type_idx(&self, s: &str) -> Option<TypeIdx> {
        self.catalog.iter().position(|t| t.name == s).map(|i| TypeIdx(i as u8))
    }

    pub fn set_catalog(&mut self, c: Catalog) {
        // Indices stay: known types keep their place, new ones come after.
        for t in c.types {
            let room = self.catalog.len() < 250;
            match self.catalog.iter_mut().find(|x| x.name == t.name) {
                Some(x) => *x = t,
                None if room => self.catalog.push(t),
                None => {}
            }
        }
        let room = |t: &MachineType| Resources {
            cpu: thousandths(t.cpus),
            gpu: thousandths(t.gpus),
            mem: thousandths(t.memory_gb),
        };
        self.rooms = self.catalog.iter().map(room).collect();
    }

    pub fn room_of_type(&self, t: TypeIdx) -> Resources {
        self.rooms[t.0 as usize]
    }

    pub fn shape(&mut self, wire: &Arc<mesh::Shape>) -> Shape {
        Shape {
            need: Resources::of(wire),
            image: ImageIdx(self.images.intern(&wire.image)),
            wire: wire.clone(),
        }
    }

    /// How long such a machine fetches an image of that size, in seconds.
    pub fn fetch_s(&self, t: TypeIdx, gb: f64) -> f64 {
        gb / self.catalog[t.0 as usize].fetch_gb_per_s.max(0.01)
    }

    /// Price of a machine per hour, as a spot one or an ordinary one.
    pub fn price(&self, t: TypeIdx, spot: bool) -> f64 {
        let t = &self.catalog[t.0 as usize];
        // Spot machines may be taken back: their price counts for somewhat more.
        if spot {
            t.spot_price * 1.15
        } else {
            t.price
        }
    }

    /// Whether a task's place on such a machine costs no more than it is worth: a multiple of
    /// the cheapest place there is, whether that can be had now or not.
    pub fn affordable(&self, shape: &mesh::Shape, t: TypeIdx, spot: bool, urgent: bool) -> bool {
        let need = Resources::of(shape);
        let place = |t: TypeIdx, spot| {
            let fits = self.room_of_type(t).fits(need);
            (fits > 0 && self.allows(shape, t, spot)).then(|| self.price(t, spot) / fits as f64)
        };
        let types = (0..self.catalog.len()).map(|i| TypeIdx(i as u8));
        let fair = types.filter_map(|t| place(t, false)).fold(f64::INFINITY, f64::min);
        let patience = match shape.priority {
            Priority::Low if !urgent => 1.5,
            Priority::Low => 3.5,
            Priority::Normal | Priority::High => 4.5,
            Priority::Production if !urgent => 5.0,
            Priority::Production => 8.0,
        };
        place(t, spot).is_some_and(|p| p <= fair * patience)
    }

    /// Whether a task of this shape may run on this type and kind of machine at all.
    pub fn allows(&self, shape: &mesh::Shape, t: TypeIdx, spot: bool) -> bool {
        if spot && !shape.spot {
            return false;
        }
        let name = &self.catalog[t.0 as usize].name;
        shape.types.as_ref().is_none_or(|l| l.iter().any(|x| x == name))
    }
}
