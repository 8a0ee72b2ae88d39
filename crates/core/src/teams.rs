//! Limits of teams: constraints of the same kind as a machine's room, held by the team's seat.
//!
//! A team's seat grants each coordinator a part of the limit. A coordinator decides only within
//! its grant, and its decision is conditional on the epoch of the team's seat as well, so that a
//! grant ends with the owner that gave it. A new owner grants nothing before every coordinator
//! has told what its tasks take; a coordinator's share stays counted until its seat's next owner
//! has told anew.
use crate::ids::{Epoch, Seat};
use crate::names::thousandths;
use leaddeal_wire::mesh::TeamUse;
use leaddeal_wire::settings::Team;
use std::collections::BTreeMap;

/// The limit of a team in thousandths; none: no limit.
pub fn limit(t: &Team) -> Option<(u64, u64)> {
    let m = |v: f64| if v > 0.0 { thousandths(v) } else { u64::MAX };
    (t.cpus_max > 0.0 || t.gpus_max > 0.0).then(|| (m(t.cpus_max), m(t.gpus_max)))
}

pub fn seat_of_team(team: u8, seats: usize) -> Seat {
    Seat((team as usize % seats) as u8)
}

/// By team: thousandths of cores and GPUs.
type Shares = BTreeMap<u8, (u64, u64)>;

/// The books of a team's seat.
#[derive(Debug)]
pub struct Desk {
    seat: Seat,
    limits: Vec<Option<(u64, u64)>>,
    /// By coordinator's seat: its epoch, and what each team may take there.
    shares: BTreeMap<Seat, (Epoch, Shares)>,
    seats: usize,
}

impl Desk {
    pub fn new(seat: Seat, teams: &[Team], seats: usize) -> Desk {
        Desk { seat, limits: teams.iter().map(limit).collect(), shares: BTreeMap::new(), seats }
    }

    /// A coordinator's report; returns what it may take in all.
    pub fn report(&mut self, from: Seat, epoch: Epoch, usage: &[TeamUse]) -> Vec<TeamUse> {
        if self.shares.get(&from).is_some_and(|s| s.0 > epoch) {
            return Vec::new();
        }
        let mine: Vec<&TeamUse> = usage
            .iter()
            .filter(|u| seat_of_team(u.team, self.seats) == self.seat)
            .filter(|u| self.limits.get(u.team as usize).is_some_and(Option::is_some))
            .collect();
        let used = mine.iter().map(|u| (u.team, (u.cpu, u.gpu))).collect();
        self.shares.insert(from, (epoch, used));
        let complete = self.shares.len() == self.seats;
        let mut granted = Vec::new();
        for u in mine {
            let Some((cpu_max, gpu_max)) = self.limits[u.team as usize] else { continue };
            let (mut cpu, mut gpu) = (0, 0);
            if complete {
                let others = |f: fn(&(u64, u64)) -> u64| -> u64 {
                    let rest = self.shares.iter().filter(|s| *s.0 != from);
                    rest.filter_map(|s| s.1 .1.get(&u.team)).map(f).sum()
                };
                // What may be in use after a takeover is counted in full, and can be more than
                // the limit; a grant never is. (Found by the simulator.)
                cpu = (u.cpu + u.more_cpu).min(cpu_max.saturating_sub(others(|x| x.0)));
                gpu = (u.gpu + u.more_gpu).min(gpu_max.saturating_sub(others(|x| x.1)));
                if let Some(s) = self.shares.get_mut(&from) {
                    s.1.insert(u.team, (cpu.max(u.cpu), gpu.max(u.gpu)));
                }
            }
            granted.push(TeamUse { team: u.team, cpu, gpu, more_cpu: 0, more_gpu: 0 });
        }
        granted
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn shares_never_exceed_the_limit_and_wait_for_every_coordinator() {
        let team = Team { name: "t".into(), cpus: 0.0, cpus_max: 10.0, gpus: 0.0, gpus_max: 0.0 };
        let mut d = Desk::new(Seat(0), &[team], 3);
        let ask = |cpu, more_cpu| [TeamUse { team: 0, cpu, gpu: 0, more_cpu, more_gpu: 0 }];
        let got = |v: Vec<TeamUse>| v[0].cpu;
        assert_eq!(got(d.report(Seat(0), Epoch(5), &ask(0, 9000))), 0, "others are unknown yet");
        assert_eq!(got(d.report(Seat(1), Epoch(6), &ask(4000, 0))), 0);
        assert_eq!(got(d.report(Seat(2), Epoch(7), &ask(0, 9000))), 6000);
        assert_eq!(got(d.report(Seat(0), Epoch(5), &ask(0, 9000))), 0, "all of it is given out");
        assert_eq!(got(d.report(Seat(2), Epoch(7), &ask(1000, 0))), 1000, "unused is given up");
        assert_eq!(got(d.report(Seat(0), Epoch(5), &ask(0, 9000))), 5000);
        let taken_over = got(d.report(Seat(1), Epoch(9), &ask(9000, 0)));
        assert!(taken_over <= 10_000 - 6000, "a grant keeps to the limit, whatever is in use");
        assert!(d.report(Seat(1), Epoch(3), &ask(0, 0)).is_empty(), "an old epoch says nothing");
    }
}
