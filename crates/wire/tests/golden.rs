//! Compatibility of mesh messages: each message that the version in production sends must be decoded,
//! and encoded again byte for byte, so that controllers of two versions understand each other during
//! an upgrade.
//!
//! `golden/mesh.txt` was recorded from simulated runs of that version, with one line for each message:
//! its kind and its bytes in hexadecimal. Lines are only ever added.
use leaddeal_wire::mesh::NodeMessage;

const MESSAGES: &str = include_str!("golden/mesh.txt");

fn bytes_of(hexadecimal: &str) -> Vec<u8> {
    let digits = hexadecimal.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII"), 16);
    digits.map(|pair| byte(pair).expect("two hexadecimal digits")).collect()
}

#[test]
fn recorded_messages_round_trip_unchanged() {
    let mut kinds = std::collections::BTreeSet::new();
    for line in MESSAGES.lines() {
        let (kind, hexadecimal) = line.split_once(' ').expect("a kind and its bytes");
        let recorded = bytes_of(hexadecimal);
        let message: NodeMessage = ciborium::from_reader(recorded.as_slice())
            .unwrap_or_else(|e| panic!("{kind} is not decoded: {e}"));
        let mut encoded = Vec::new();
        ciborium::into_writer(&message, &mut encoded).expect("a message can be encoded");
        assert_eq!(encoded, recorded, "{kind}: {message:?}");
        kinds.insert(kind);
    }
    assert_eq!(kinds.len(), 24, "every kind of message is recorded: {kinds:?}");
}
