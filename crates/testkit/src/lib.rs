//! Models of workers, the cloud, the key-value store and users, written from the protocol; a seeded
//! simulator that runs the real cores against these models; and a checker of the protocol's invariants.

pub mod broken_rule;
pub mod coscheduling;
pub mod fingerprint;
pub mod gangs;
pub mod histories;
pub mod invalid_submissions;
pub mod reported_state;
pub mod rules;
pub mod script;
pub mod served;
pub mod sim;
pub mod starvation;
pub mod state;
pub mod tally;
pub mod user_knowledge;
pub mod worker;
