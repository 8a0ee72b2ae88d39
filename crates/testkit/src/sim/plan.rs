//! What a simulated run consists of.
use super::{Sabotage, Teams, FAST_RESTART_MS, NODES};
use crate::script::Fault;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The storms' scripts are drawn from another stream of random numbers than the runs themselves.
const STORM_SEED_MASK: u64 = 0x5707;

/// A simulated run: the same plan gives the same run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all that is drawn at random.
    pub seed: u64,
    /// How long faults may last, in simulated seconds.
    pub seconds: u64,
    /// Faults, lost answers and late messages are drawn at random.
    pub faults: bool,
    /// What is broken on purpose.
    pub sabotage: Sabotage,
    /// How many processors a team with a limit may use.
    pub team_cpu_limit: f64,
    /// A multiple of the usual machines and tasks; above 1 also GPU machines and gangs for them.
    pub scale: u32,
    /// An array has fewer tasks than this.
    pub array_tasks_limit: u32,
    /// A multiple of the usual rate of submissions.
    pub submission_rate: u32,
    /// What goes into the cores and comes out is counted.
    pub count_traffic: bool,
    /// Faults at set times, in milliseconds from the beginning.
    pub script: Vec<(u64, Fault)>,
    /// How many jobs in a terminal state are in the store from the beginning.
    pub preloaded_terminal_jobs: u64,
    /// How many open jobs are in the store from the beginning.
    pub preloaded_open_jobs: u64,
    /// How many changes a second the state service takes; without a limit if absent.
    pub store_changes_per_s: Option<f64>,
    /// A controller that ended is started again within a second, each time.
    pub fast_restarts: bool,
    /// Duration of the workers' leases in milliseconds.
    pub lease_ms: u64,
    /// How many seconds without any fault follow those of `seconds`.
    pub calm_seconds: u64,
    /// Tasks run for a quarter of a minute to two minutes.
    pub long_tasks: bool,
    /// In the store there are records from the beginning that do not decode, of each kind.
    pub corrupt_records: bool,
    /// The largest number of tasks of a gang.
    pub max_gang_tasks: u32,
    /// The share of arrays and gangs, from 0 to 1, that want all their tasks in one zone.
    pub one_zone_share: f64,
    /// Which teams have limits.
    pub teams: Teams,
    /// How many milliseconds longer each message takes.
    pub extra_latency_ms: u64,
}

impl Plan {
    /// An ordinary run of four minutes with random faults.
    pub fn new(seed: u64) -> Plan {
        Plan {
            seed,
            seconds: 240,
            faults: true,
            sabotage: Sabotage::None,
            team_cpu_limit: 6.0,
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
            calm_seconds: 0,
            long_tasks: false,
            corrupt_records: false,
            max_gang_tasks: 4,
            one_zone_share: 0.3,
            teams: Teams::Three,
            extra_latency_ms: 0,
        }
    }

    /// A quiet run of more than four minutes with long tasks: nothing fails.
    pub fn quiet(seed: u64) -> Plan {
        let calm = Plan { seconds: 250, calm_seconds: 1, ..Plan::new(seed) };
        Plan { faults: false, long_tasks: true, ..calm }
    }

    /// Every controller ends twenty times within a minute, and is back within a second.
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

    /// The machines and jobs of a large deployment, without faults, counted.
    pub fn large(seed: u64) -> Plan {
        let large =
            Plan { scale: 20, array_tasks_limit: 240, submission_rate: 4, ..Plan::new(seed) };
        let large = Plan { max_gang_tasks: 1, teams: Teams::One, ..large };
        Plan { faults: false, team_cpu_limit: 600.0, count_traffic: true, ..large }
    }

    /// `times` 90 machines and their work: what grows with them should grow no faster.
    pub fn fleet(seed: u64, times: u32) -> Plan {
        let fleet = Plan { scale: 10 * times, array_tasks_limit: 60, ..Plan::large(seed) };
        let team_cpu_limit = 300.0 * f64::from(times);
        Plan { submission_rate: 4 * times, team_cpu_limit, seconds: 60, ..fleet }
    }
}
