//! What the listening end of a connection writes back: signals of one byte, or of nine.

/// The other end reads what is sent. (So does any byte without a meaning.)
pub(super) const READING: u8 = 1;
/// Followed by eight bytes, big-endian: the boot number of a newer process of the sender's node, which was
/// heard before. The sender is not listened to.
pub(super) const OUTDATED: u8 = 2;

/// The signal [`OUTDATED`] with its number.
pub(super) fn outdated(newest_boot: u64) -> Vec<u8> {
    let mut bytes = vec![OUTDATED];
    bytes.extend(newest_boot.to_be_bytes());
    bytes
}
