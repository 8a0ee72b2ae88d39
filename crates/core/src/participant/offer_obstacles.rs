//! Why machines were not offered for jobs that got less than they asked for, counted for the
//! operators' log.

/// What kept a machine, or all machines of a group, from being offered for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OfferObstacle {
    /// The group's zone takes no more tasks of the job.
    ZoneRule,
    /// A gang that is to be served before the job waits for machines of the group.
    GangAhead,
    /// The machine is kept for GPU work that waits.
    GpuWorkWaits,
    /// The machine is kept for a gang of several tasks.
    KeptForGang,
    /// The machine takes no new work, or none of this job.
    NotEligible,
    /// What is free is reserved for other jobs.
    Reserved,
    /// What is free is held for open negotiations.
    Held,
    /// Too little is free.
    NoCapacity,
}

impl OfferObstacle {
    const ALL: [OfferObstacle; 8] = [
        OfferObstacle::ZoneRule,
        OfferObstacle::GangAhead,
        OfferObstacle::GpuWorkWaits,
        OfferObstacle::KeptForGang,
        OfferObstacle::NotEligible,
        OfferObstacle::Reserved,
        OfferObstacle::Held,
        OfferObstacle::NoCapacity,
    ];

    /// Its name in the log.
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
        }
    }
}

/// How often each obstacle was met.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ObstacleCounts([u64; OfferObstacle::ALL.len()]);

impl ObstacleCounts {
    /// Counts one more.
    pub fn note(&mut self, obstacle: OfferObstacle) {
        self.0[obstacle as usize] += 1;
    }

    /// Adds the counts of another search.
    pub fn add(&mut self, other: &ObstacleCounts) {
        for (sum, count) in self.0.iter_mut().zip(other.0) {
            *sum += count;
        }
    }

    /// For the log: the obstacles that were met. None: there were none.
    pub fn figures(&self) -> Option<String> {
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
    fn obstacles_are_counted_under_their_names() {
        let mut counts = ObstacleCounts::default();
        assert_eq!(counts.figures(), None);
        for obstacle in OfferObstacle::ALL {
            assert_eq!(OfferObstacle::ALL[obstacle as usize], obstacle);
        }
        counts.note(OfferObstacle::Held);
        let mut sum = counts;
        sum.note(OfferObstacle::ZoneRule);
        sum.add(&counts);
        assert_eq!(sum.figures().as_deref(), Some("zone_rule=1 held=2"));
    }
}
