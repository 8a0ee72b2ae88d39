//! Counts, for the operators' log, of the reasons why machines were not offered to jobs that got less
//! than they asked for.

/// Why a machine, or all machines of a group, were not offered to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OfferObstacle {
    /// The job may place no more tasks in the group's zone.
    ZoneRule,
    /// A gang that is served before the job waits for machines of the group.
    GangAhead,
    /// The machine is kept for recently requested GPU work.
    GpuWorkWaits,
    /// The machine is kept for a gang of several tasks.
    KeptForGang,
    /// The machine gets no new tasks, or none of this job.
    NotEligible,
    /// The free resources are reserved for other jobs.
    Reserved,
    /// The free resources are held for open negotiations.
    Held,
    /// The machine has too little free.
    NoCapacity,
    /// What is free is not known, since the coordinator of a task there has not sent the task's shape.
    UnknownShape,
}

impl OfferObstacle {
    const ALL: [OfferObstacle; 9] = [
        OfferObstacle::ZoneRule,
        OfferObstacle::GangAhead,
        OfferObstacle::GpuWorkWaits,
        OfferObstacle::KeptForGang,
        OfferObstacle::NotEligible,
        OfferObstacle::Reserved,
        OfferObstacle::Held,
        OfferObstacle::NoCapacity,
        OfferObstacle::UnknownShape,
    ];

    /// Returns the name under which the obstacle is logged.
    fn name(self) -> &'static str {
        match self {
            OfferObstacle::ZoneRule => "zone_rule",
            OfferObstacle::GangAhead => "gang_ahead",
            OfferObstacle::GpuWorkWaits => "gpu_work_waits",
            OfferObstacle::KeptForGang => "kept_for_gang",
            OfferObstacle::NotEligible => "not_eligible",
            OfferObstacle::Reserved => "reserved",
            OfferObstacle::Held => "held",
            OfferObstacle::NoCapacity => "no_capacity",
            OfferObstacle::UnknownShape => "unknown_shape",
        }
    }
}

/// How often each obstacle occurred, in the order of `OfferObstacle::ALL`.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ObstacleCounts([u64; OfferObstacle::ALL.len()]);

impl ObstacleCounts {
    /// Counts one occurrence.
    pub fn note(&mut self, obstacle: OfferObstacle) {
        self.0[obstacle as usize] += 1;
    }

    /// Adds the counts of another search.
    pub fn add(&mut self, other: &ObstacleCounts) {
        for (sum, count) in self.0.iter_mut().zip(other.0) {
            *sum += count;
        }
    }

    /// Returns the obstacles that occurred, with their counts, for the log; `None` if there were none.
    pub fn statistics(&self) -> Option<String> {
        let met = OfferObstacle::ALL.into_iter().filter(|obstacle| self.0[*obstacle as usize] > 0);
        let words: Vec<String> =
            met.map(|met| format!("{}={}", met.name(), self.0[met as usize])).collect();
        (!words.is_empty()).then(|| words.join(" "))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn logs_obstacles_under_their_names() {
        let mut counts = ObstacleCounts::default();
        assert_eq!(counts.statistics(), None);
        for obstacle in OfferObstacle::ALL {
            assert_eq!(OfferObstacle::ALL[obstacle as usize], obstacle);
        }
        counts.note(OfferObstacle::Held);
        let mut sum = counts;
        sum.note(OfferObstacle::ZoneRule);
        sum.add(&counts);
        assert_eq!(sum.statistics().as_deref(), Some("zone_rule=1 held=2"));
    }
}
