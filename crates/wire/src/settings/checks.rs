//! Validation of the settings. The error names the first value that is invalid.
use super::{FieldError, Settings, SettingsError, Team};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum number of teams. Messages between controllers refer to a team by a number of one byte.
pub(super) const MAX_TEAMS: usize = 255;
/// Maximum number of zones. Messages between controllers refer to a zone by its number.
pub(super) const MAX_ZONES: usize = 64;
/// Number of operations in a transaction that the controllers need.
pub(super) const MIN_TXN_OPS: usize = 4;
/// Maximum number of processors or GPUs of a team. Larger amounts can't be counted exactly in
/// thousandths.
const MAX_AMOUNT: f64 = 1e9;
/// Smallest limit of a team, except 0. Processors and GPUs are counted in thousandths, so with a
/// smaller limit no task could run.
const MIN_LIMIT: f64 = 0.001;

/// Maximum number of processors, or MB of memory, of a controller. The bounds derived from larger
/// values, such as the size of a semaphore, would overflow.
const MAX_RESOURCE: f64 = 1e9;
/// With fewer file descriptors a controller could not serve users, workers and peers, and connect to
/// the services.
pub(super) const MIN_FILE_DESCRIPTORS: usize = 20;
/// The operating system counts file descriptors in 32 bits.
pub(super) const MAX_FILE_DESCRIPTORS: usize = i32::MAX as usize;

type Checked = Result<(), SettingsError>;

fn invalid(field: &'static str, why: FieldError) -> Checked {
    Err(SettingsError::Field { field, why })
}

impl Settings {
    pub(super) fn check(&self) -> Checked {
        self.check_addresses()?;
        self.check_node_names()?;
        self.check_zones()?;
        self.check_teams()?;
        self.check_rates_and_times()?;
        self.check_resources()?;
        if self.params.state.txn_ops < MIN_TXN_OPS {
            return invalid("cluster.state.txn_ops", FieldError::TooFewTxnOps);
        }
        Ok(())
    }

    fn check_addresses(&self) -> Checked {
        let own = [
            ("serve_on", &self.listen),
            ("mesh_addr", &self.peer_listen),
            ("external.cloud", &self.services.cloud),
            ("external.state", &self.services.state),
        ];
        let of_peers = self.peers.iter().map(|peer| ("siblings.address", &peer.addr));
        for (field, addr) in own.into_iter().chain(of_peers) {
            if addr.parse::<SocketAddr>().is_err() {
                return invalid(field, FieldError::NotAnAddress(addr.clone()));
            }
        }
        Ok(())
    }

    fn check_node_names(&self) -> Checked {
        let names = self.nodes();
        if names.windows(2).any(|pair| pair[0] == pair[1]) {
            return invalid("siblings", FieldError::DuplicateNodeName);
        }
        Ok(())
    }

    fn check_zones(&self) -> Checked {
        if !(1..=MAX_ZONES).contains(&self.params.zones.len()) {
            return invalid("cluster.zones", FieldError::ZoneCount);
        }
        Ok(())
    }

    fn check_teams(&self) -> Checked {
        let teams = &self.params.teams;
        if teams.is_empty() {
            return invalid("cluster.teams", FieldError::NoTeam);
        }
        if teams.len() > MAX_TEAMS {
            return invalid("cluster.teams", FieldError::TooManyTeams);
        }
        let mut names = BTreeSet::new();
        for team in teams {
            if team.name.is_empty() {
                return invalid("cluster.teams.name", FieldError::UnnamedTeam);
            }
            if !names.insert(&team.name) {
                let why = FieldError::DuplicateTeamName(team.name.clone());
                return invalid("cluster.teams.name", why);
            }
            team.check_amounts()?;
        }
        Ok(())
    }

    /// Checks the limits of a controller. Those that are not set are 0.
    fn check_resources(&self) -> Checked {
        let resources = &self.params.limits;
        for (field, amount) in [
            ("cluster.resources.core_share", resources.cpu_share),
            ("cluster.resources.mem_mb", resources.memory_mb),
        ] {
            if !(0.0..=MAX_RESOURCE).contains(&amount) {
                return invalid(field, FieldError::InvalidResourceAmount(amount));
            }
        }
        let possible = MIN_FILE_DESCRIPTORS..=MAX_FILE_DESCRIPTORS;
        let descriptors = resources.max_connections;
        if descriptors != 0 && !possible.contains(&descriptors) {
            return invalid(
                "cluster.resources.fd_limit",
                FieldError::FileDescriptorCount(descriptors),
            );
        }
        Ok(())
    }

    fn check_rates_and_times(&self) -> Checked {
        let (workers, state, cloud) =
            (&self.params.workers, &self.params.state, &self.params.cloud);
        for (field, number) in [
            ("cluster.workers.report_s", workers.report_s),
            ("cluster.workers.lease_s", workers.lease_s),
            ("cluster.workers.gang_wait_s", workers.gang_wait_s),
            ("cluster.workers.gang_peer_s", workers.gang_peer_s),
            ("cluster.workers.cancel_s", workers.cancel_s),
            ("cluster.state.rps", state.rps),
            ("cluster.state.write_rps", state.write_rps),
            ("cluster.state.value_kb", state.value_kb),
            ("cluster.cloud.rps", cloud.rps),
        ] {
            if !(number.is_finite() && number > 0.0) {
                return invalid(field, FieldError::NotPositive(number));
            }
        }
        Ok(())
    }
}

impl Team {
    fn check_amounts(&self) -> Checked {
        let limits =
            [("cluster.teams.cpus_max", self.cpus_max), ("cluster.teams.gpus_max", self.gpus_max)];
        for (field, amount) in [
            ("cluster.teams.cpus", self.cpus),
            limits[0],
            ("cluster.teams.gpus", self.gpus),
            limits[1],
        ] {
            if !(0.0..=MAX_AMOUNT).contains(&amount) {
                let team = self.name.clone();
                return invalid(field, FieldError::InvalidTeamAmount { amount, team });
            }
        }
        for (field, amount) in limits {
            if amount > 0.0 && amount < MIN_LIMIT {
                let team = self.name.clone();
                return invalid(field, FieldError::TeamLimitTooSmall { amount, team });
            }
        }
        Ok(())
    }
}
