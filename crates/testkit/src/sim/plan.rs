//! The parameters of a simulated run.
use super::{InjectedDefect, TeamQuotas, FAST_RESTART_MS, NODES};
use crate::script::Fault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Combined with a run's seed to draw the script of a crash storm from a different stream of random numbers than
/// the run itself.
const STORM_SEED_MASK: u64 = 0x5707;

/// The parameters of a simulated run: the same plan gives the same run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the random number generator.
    pub seed: u64,
    /// Duration of the part of the run that may have faults, in simulated seconds.
    pub seconds: u64,
    /// Whether faults, lost answers and late messages are drawn at random.
    pub random_faults: bool,
    /// The defect that is injected into the system under test.
    pub defect: InjectedDefect,
    /// CPU quota of the team `tight`; other teams with a quota have 1.5 times as much.
    pub team_cpu_quota: f64,
    /// Multiplier of the usual number of machines. Above 1, a fifth of the machines have GPUs, and gangs need GPUs.
    pub scale: u32,
    /// Exclusive upper bound of the number of tasks of an array.
    pub array_tasks_limit: u32,
    /// Multiplier of the usual rate of submissions.
    pub submission_rate: u32,
    /// Whether the inputs and effects of the cores are counted.
    pub count_traffic: bool,
    /// Faults at given times, in milliseconds from the beginning of the run.
    pub script: Vec<(u64, Fault)>,
    /// Number of jobs in a terminal state that are in the store at the beginning of the run.
    pub preloaded_terminal_jobs: u64,
    /// Number of open jobs that are in the store at the beginning of the run.
    pub preloaded_open_jobs: u64,
    /// Rate limit of the store, in changes per second; `None`: no limit.
    pub store_changes_per_s: Option<f64>,
    /// Whether every crashed controller is restarted within a second.
    pub fast_restarts: bool,
    /// Duration of the workers' leases in milliseconds.
    pub lease_ms: u64,
    /// Duration of the part without faults that follows after `seconds`, in simulated seconds.
    pub fault_free_seconds: u64,
    /// Whether tasks run for 15 to 120 s, and not for 1 to 8 s.
    pub long_tasks: bool,
    /// Whether the store contains records of each kind that do not decode at the beginning of the run.
    pub corrupt_records: bool,
    /// Largest number of tasks of a gang; 1: gangs are not simulated step by step.
    pub max_gang_tasks: u32,
    /// Share of the arrays and gangs, from 0 to 1, that require all their tasks to be in one zone.
    pub one_zone_share: f64,
    /// The teams and their quotas.
    pub teams: TeamQuotas,
    /// Additional latency of each message.
    pub extra_latency_ms: u64,
}

impl Plan {
    /// Returns the plan of an ordinary run of four minutes with random faults.
    pub fn new(seed: u64) -> Plan {
        Plan {
            seed,
            seconds: 240,
            random_faults: true,
            defect: InjectedDefect::None,
            team_cpu_quota: 6.0,
            scale: 1,
            array_tasks_limit: 12,
            submission_rate: 1,
            count_traffic: false,
            script: Vec::new(),
            preloaded_terminal_jobs: 0,
            preloaded_open_jobs: 0,
            store_changes_per_s: None,
            fast_restarts: false,
            lease_ms: 8000,
            fault_free_seconds: 0,
            long_tasks: false,
            corrupt_records: false,
            max_gang_tasks: 4,
            one_zone_share: 0.3,
            teams: TeamQuotas::TwoOfThree,
            extra_latency_ms: 0,
        }
    }

    /// Returns the plan of a run of more than four minutes with long tasks and without faults.
    pub fn quiet(seed: u64) -> Plan {
        let fault_free = Plan { seconds: 250, fault_free_seconds: 1, ..Plan::new(seed) };
        Plan { random_faults: false, long_tasks: true, ..fault_free }
    }

    /// Returns the plan of a crash storm: every controller crashes twenty times within a minute, and restarts within a
    /// second each time.
    pub fn storm(seed: u64) -> Plan {
        let mut rng = SmallRng::seed_from_u64(seed ^ STORM_SEED_MASK);
        let mut script = Vec::new();
        for node in 0..NODES {
            for _ in 0..20 {
                let back_ms = rng.random_range(FAST_RESTART_MS);
                let at = rng.random_range(40_000..100_000);
                script.push((at, Fault::Crash { nodes: vec![node], back_ms }));
            }
        }
        Plan { script, fast_restarts: true, ..Plan::new(seed) }
    }

    /// Returns the plan of a run with the machines and jobs of a large deployment, without faults, and with counts of
    /// inputs and effects.
    pub fn large(seed: u64) -> Plan {
        let large =
            Plan { scale: 20, array_tasks_limit: 240, submission_rate: 4, ..Plan::new(seed) };
        let large = Plan { max_gang_tasks: 1, teams: TeamQuotas::OneOfTwo, ..large };
        Plan { random_faults: false, team_cpu_quota: 600.0, count_traffic: true, ..large }
    }

    /// Returns the plan of a run with `times` 90 machines and their jobs, to check that costs grow no faster than the
    /// number of machines.
    pub fn fleet(seed: u64, times: u32) -> Plan {
        let fleet = Plan { scale: 10 * times, array_tasks_limit: 60, ..Plan::large(seed) };
        let team_cpu_quota = 300.0 * f64::from(times);
        Plan { submission_rate: 4 * times, team_cpu_quota, seconds: 60, ..fleet }
    }
}
