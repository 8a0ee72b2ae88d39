//! Batches the tasks that participants are told to place into one message per job and participant.
use crate::ids::{JobId, Shard};
use leaddeal_wire::mesh::{Assignment, Shape, ShardMessage};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The key by which tasks are batched. Messages are sent in the order of their targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct PlaceTarget {
    pub participant: Shard,
    pub job: JobId,
    /// Whether the placements come from a decision of an older epoch.
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
    /// Converts the request into a single message.
    pub fn into_message(self) -> ShardMessage {
        let PlaceTarget { job, adopt, .. } = self.target;
        ShardMessage::Place { job: job.0, shape: self.shape, picks: self.assignments, adopt }
    }

    /// Splits the request into messages of at most `max_tasks` tasks each.
    pub fn messages(&self, max_tasks: usize) -> impl Iterator<Item = ShardMessage> + '_ {
        let PlaceTarget { job, adopt, .. } = self.target;
        self.assignments.chunks(max_tasks).map(move |part| {
            let (shape, picks) = (self.shape.clone(), part.to_vec());
            ShardMessage::Place { job: job.0, shape, picks, adopt }
        })
    }
}

/// Requests by target. Each request has at least one task.
#[derive(Debug, Default)]
pub(super) struct PlaceBatch {
    requests: BTreeMap<PlaceTarget, PlaceRequest>,
}

impl PlaceBatch {
    /// Adds a task of a job with this shape.
    pub fn add(&mut self, target: PlaceTarget, shape: &Arc<Shape>, assignment: Assignment) {
        let request = self.requests.entry(target).or_insert_with(|| PlaceRequest {
            target,
            shape: shape.clone(),
            assignments: Vec::new(),
        });
        request.assignments.push(assignment);
    }

    /// Returns the requests in the order of their targets.
    pub fn into_requests(self) -> impl Iterator<Item = PlaceRequest> {
        self.requests.into_values()
    }
}
