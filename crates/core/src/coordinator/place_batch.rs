//! Tasks that participants are told to place, gathered into one message for each job and participant.
use crate::ids::{JobId, Shard};
use leaddeal_wire::mesh::{Assignment, Shape, ShardMessage};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Whom to tell, and of which job. Messages are sent in the order of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlaceTarget {
    pub participant: Shard,
    pub job: JobId,
    /// Whether the placements are from a decision of an older epoch.
    pub adopt: bool,
}

/// Tasks of one job that one participant is told to place.
#[derive(Debug)]
pub(super) struct PlaceRequest {
    pub target: PlaceTarget,
    shape: Arc<Shape>,
    assignments: Vec<Assignment>,
}

impl PlaceRequest {
    /// All of it in one message.
    pub fn into_message(self) -> ShardMessage {
        let PlaceTarget { job, adopt, .. } = self.target;
        ShardMessage::Place { job: job.0, shape: self.shape, picks: self.assignments, adopt }
    }

    /// Several messages, of at most `max_tasks` tasks each.
    pub fn messages(&self, max_tasks: usize) -> impl Iterator<Item = ShardMessage> + '_ {
        let PlaceTarget { job, adopt, .. } = self.target;
        self.assignments.chunks(max_tasks).map(move |part| {
            let (shape, picks) = (self.shape.clone(), part.to_vec());
            ShardMessage::Place { job: job.0, shape, picks, adopt }
        })
    }
}

/// Requests by target; each is there at most once, and has at least one task.
#[derive(Debug, Default)]
pub(super) struct PlaceBatch {
    requests: BTreeMap<PlaceTarget, PlaceRequest>,
}

impl PlaceBatch {
    /// Adds a task of a job of this shape.
    pub fn add(&mut self, target: PlaceTarget, shape: &Arc<Shape>, assignment: Assignment) {
        let request = self.requests.entry(target).or_insert_with(|| PlaceRequest {
            target,
            shape: shape.clone(),
            assignments: Vec::new(),
        });
        request.assignments.push(assignment);
    }

    /// In the order of the targets.
    pub fn into_requests(self) -> impl Iterator<Item = PlaceRequest> {
        self.requests.into_values()
    }
}
