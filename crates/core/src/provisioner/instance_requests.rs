//! InstanceRequests under way: each named, and repeated under its name until its outcome is known.
//!
//! Invariants:
//! - a name is used for one request only: it contains the provisioner's epoch, and a number that grows;
//! - a request whose outcome is unknown is never dropped, only repeated to the letter; one that was
//!   certainly not executed is dropped, and planned anew under another name;
//! - no more than `MOST` are under way, and the most urgent are sent first.
//!
//! (There was one at a time: from an empty fleet waits grew in step with the fleet, whatever the
//! cloud allowed.)
use crate::guards::{holds, Guard};
use crate::ids::{Epoch, Timestamp};
use crate::io::CloudResult;
use leaddeal_wire::cloud::InstanceRequest;
use std::collections::BTreeMap;

/// Under way at once. The cloud's limit of calls keeps them apart; so many may wait for answers.
pub const MOST: usize = 24;
/// The cloud rents no more by one call.
pub const MOST_A_CALL: u32 = 50;
const AGAIN_MS: u64 = 1000;

#[derive(Clone, Debug)]
struct Asked {
    rent: InstanceRequest,
    since: Timestamp,
    /// Its outcome is unknown: the same name is asked again until there is an answer.
    unsure: bool,
    retry_at: Timestamp,
    in_flight: bool,
}

/// What became of a request.
#[derive(Debug, PartialEq)]
pub enum RequestOutcome {
    /// Rented, perhaps fewer than asked for.
    Machines(InstanceRequest, Vec<String>),
    /// There are none to be had.
    Nothing(InstanceRequest),
    /// Not executed, or not known yet.
    NotYet,
}

#[derive(Debug, Default)]
pub struct InstanceRequests {
    /// By number, in the order of urgency.
    asked: BTreeMap<u64, Asked>,
    next: u64,
}

impl InstanceRequests {
    pub fn room(&self) -> usize {
        MOST.saturating_sub(self.asked.len())
    }

    /// Some wait for their turn to be sent.
    pub fn unsent(&self) -> bool {
        self.asked.values().any(|a| !a.in_flight && !a.unsure)
    }

    pub fn add(&mut self, epoch: Epoch, mut rent: InstanceRequest, now: Timestamp) {
        self.next += 1;
        // The epoch makes the name one that no other owner ever uses.
        rent.request = {
            let of = if holds(Guard::RentalEpoch) { epoch } else { Epoch(0) };
            format!("r-{}-{}", of.0, self.next)
        };
        rent.count = rent.count.clamp(1, MOST_A_CALL);
        let new = Asked { rent, since: now, unsure: false, retry_at: now, in_flight: false };
        self.asked.insert(self.next, new);
    }

    /// The next request to be sent, with its number.
    pub fn send(&mut self, now: Timestamp) -> Option<(u64, InstanceRequest)> {
        let due = |a: &&mut Asked| !a.in_flight && now >= a.retry_at;
        let (&number, a) = self.asked.iter_mut().find(|(_, a)| due(a))?;
        a.in_flight = true;
        Some((number, a.rent.clone()))
    }

    pub fn take(&mut self, now: Timestamp, number: u64, result: CloudResult) -> RequestOutcome {
        let Some(a) = self.asked.get_mut(&number) else {
            return RequestOutcome::NotYet;
        };
        a.in_flight = false;
        let over = match result {
            CloudResult::Launched(names) => Some(Ok(names)),
            CloudResult::NoCapacity => Some(Err(())),
            CloudResult::Refused if !a.unsure => {
                self.asked.remove(&number);
                return RequestOutcome::NotYet;
            }
            CloudResult::Refused => None,
            CloudResult::Catalog(_)
            | CloudResult::Released
            | CloudResult::InstanceList(_)
            | CloudResult::Unknown => {
                a.unsure = true;
                None
            }
        };
        match (over, self.asked.remove(&number)) {
            (Some(Ok(names)), Some(a)) => RequestOutcome::Machines(a.rent, names),
            (Some(Err(())), Some(a)) => RequestOutcome::Nothing(a.rent),
            (None, Some(a)) => {
                self.asked.insert(number, Asked { retry_at: now + AGAIN_MS, ..a });
                RequestOutcome::NotYet
            }
            (_, None) => RequestOutcome::NotYet,
        }
    }

    /// What is coming if all of it is rented: counted as room already asked for.
    pub fn coming(&self) -> impl Iterator<Item = (&InstanceRequest, Timestamp)> {
        self.asked.values().map(|a| (&a.rent, a.since))
    }
}

#[cfg(test)]
mod tests;
