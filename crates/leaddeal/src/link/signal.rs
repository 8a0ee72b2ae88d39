//! Signals of one or nine bytes, which the receiving end of a connection writes to the sending end.

/// The receiving end is reading the connection. (Any other byte than [`OUTDATED`] means this too.)
pub(super) const READING: u8 = 1;
/// Messages of this sender are not accepted: a newer process of its node connected before. Eight bytes follow, the
/// boot number of that process, big-endian.
pub(super) const OUTDATED: u8 = 2;

/// Returns the signal [`OUTDATED`] with the boot number of the newer process.
pub(super) fn outdated(newest_boot: u64) -> Vec<u8> {
    let mut bytes = vec![OUTDATED];
    bytes.extend(newest_boot.to_be_bytes());
    bytes
}
