//! Stand-ins for workers, cloud, state service and users, written from the protocol; a seeded
//! simulator that drives real cores against them; and a checker of every rule.

pub mod fingerprint;
pub mod gangs;
pub mod histories;
pub mod neglect;
pub mod odd;
pub mod rules;
pub mod script;
pub mod served;
pub mod sim;
pub mod state;
pub mod tally;
pub mod together;
pub mod told;
pub mod worker;
