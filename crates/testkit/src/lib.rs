//! Stand-ins, simulator and rule checker, written from the protocol.
