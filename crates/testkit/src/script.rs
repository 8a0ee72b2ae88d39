//! Faults at set times, for the hard cases of takeover and recovery, and how long it took.

use std::collections::BTreeMap;

/// What fails, for how long in milliseconds.
#[derive(Clone, Debug)]
pub enum Fault {
    /// These controllers end and come back.
    Crash { nodes: Vec<usize>, back_ms: u64 },
    /// So many machines die at once, the first by name.
    Die { machines: usize },
    /// So many machines hang, from the last by name.
    Hang { machines: usize, ms: u64 },
    /// A controller gets no processor time.
    Freeze { node: usize, ms: u64 },
    /// Controllers refuse each other's connections.
    Apart { ms: u64 },
    /// The state service refuses everything.
    Outage { ms: u64 },
    /// The state service answers so much later.
    SlowStore { ms: u64, by_ms: u64 },
    /// A controller is cut from all workers, and from nothing else.
    Shut { node: usize, ms: u64 },
    /// A controller reaches neither the state service nor its siblings, but workers and users.
    Lone { node: usize, ms: u64 },
    /// So many machines, the first by name, hear neither answers nor commands.
    Deaf { machines: usize, ms: u64 },
    /// So many machines are back at once with new workers, whose sessions begin anew.
    Reborn { machines: usize },
    /// So many machines fail every task that they start.
    Faulty { machines: usize, ms: u64 },
    /// Users ask eight times as often.
    Polls { ms: u64 },
    /// The state service refuses this controller alone.
    Refuse { node: usize, ms: u64 },
    /// It refuses so many of a hundred calls of anyone.
    Flaky { percent: u32, ms: u64 },
    /// It ends all watches: whoever watched has to read anew.
    NoWatch { ms: u64 },
    /// Two controllers don't reach each other.
    Between { nodes: (usize, usize), ms: u64 },
    /// So many of a hundred transactions get no answer and are carried out 2 to 12 s later.
    LateWrites { percent: u32, ms: u64 },
    /// Of so many of a hundred reports a copy arrives again, up to half a minute later.
    LateReports { percent: u32, ms: u64 },
    /// So many of a hundred transactions are carried out at once, and only their answers are lost.
    LostAnswers { percent: u32, ms: u64 },
    /// So many machines, the first by name, reach no controller, while commands reach them.
    Mute { machines: usize, ms: u64 },
    /// So many of a hundred reports are kept until that moment and arrive then, at the owner of their
    /// machine's shard or at every controller: copies, or, until a new owner acts, the reports
    /// themselves.
    Keep { percent: u32, ms: u64, moment: Moment, to_all: bool },
    /// Whoever does this next gets no answer, ends so much later and comes back.
    EndsOn { what: Written, after_ms: u64, back_ms: u64 },
    /// Machines that are rented are up within 0.2 to 2 s.
    QuickBoots { ms: u64 },
    /// Commands, or their answers, are held up for so long.
    SlowOrders { by_ms: u64, ms: u64 },
    /// Right after so many of a hundred jobs were accepted, ended or called off, their users ask at all
    /// controllers, again and again within milliseconds, and repeat the submission; some cancel.
    CloseLooks { percent: u32, ms: u64 },
    /// At the very moment at which the last task of so many of a hundred jobs ends, their users ask,
    /// cancel and repeat the submission.
    AtEnd { percent: u32, ms: u64 },
    /// Users repeat submissions of what is open and over, cancel what is done, and submit what lacks a
    /// field or can never run, every quarter of a second.
    OddRequests { ms: u64 },
    /// Jobs of one task come four a second; users cancel a quarter of them.
    Ones { ms: u64 },
    /// Users cancel so many of a hundred of their jobs.
    Cancel { percent: u32 },
    /// Nothing gets out of a zone or into it; what was sent is held back.
    CutZone { zone: &'static str, ms: u64 },
    /// The same with a controller inside, which reaches that zone's workers and nobody else.
    CutZoneWith { zone: &'static str, node: usize, ms: u64 },
}

/// When a shard changes hands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Moment {
    /// A controller has acquired it.
    Acquired,
    /// It has loaded it: the tick in which it becomes ready.
    Ready,
    /// It has commanded a machine of it.
    Acted,
}

/// What a controller writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    Acquisition,
    Release,
    Decision,
    Final,
}

/// When what happened, in simulated milliseconds.
#[derive(Debug, Default)]
pub struct Marks {
    /// A controller has loaded a shard.
    pub loaded: Vec<(u64, usize)>,
    /// Pages that the state service gave out.
    pub pages: u64,
    /// Calls of the state service other than watches.
    pub store_calls: u64,
    /// Final states as they were written: when, and how long after the job's last task was done.
    pub finals: Vec<(u64, u64)>,
    /// Answers of transactions that were carried out at once and got lost.
    pub lost_answers: u64,
    /// Kept reports that arrived, by the moment they were kept for.
    pub kept: BTreeMap<Moment, u64>,
    /// What controllers had just written when they ended for it.
    pub ended_on: Vec<(u64, Written)>,
}

impl Marks {
    /// The last shard loaded after that time, and how many were.
    pub fn loaded_after(&self, at: u64) -> (u64, usize) {
        let later = self.loaded.iter().filter(|l| l.0 > at);
        (later.clone().map(|l| l.0).max().unwrap_or(0), later.count())
    }
}
