//! Compact sets of tasks: bitmaps of a job's completed tasks, stored in chunks.
use base64::engine::general_purpose::STANDARD_NO_PAD as BASE64;
use base64::Engine;

/// Number of tasks in a stored chunk: 3 KiB of bits, or 4 KiB of base64 text.
pub const TASKS_PER_CHUNK: u32 = 24 * 1024;

const BITS_PER_WORD: u32 = u64::BITS;
const BITS_PER_BYTE: u32 = u8::BITS;
const WORDS_PER_CHUNK: usize = (TASKS_PER_CHUNK / BITS_PER_WORD) as usize;
const BYTES_PER_CHUNK: usize = (TASKS_PER_CHUNK / BITS_PER_BYTE) as usize;

/// A set of a job's tasks, which are numbered from 0.
///
/// Invariant: `count` is the number of bits that are set in `words`.
#[derive(Clone, Debug, Default)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// Returns whether the task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        let word = self.words.get((task / BITS_PER_WORD) as usize);
        word.is_some_and(|word| word & bit_mask(task) != 0)
    }

    /// Adds a task. Returns true if it was not in the set before.
    pub fn insert(&mut self, task: u32) -> bool {
        let index = (task / BITS_PER_WORD) as usize;
        if index >= self.words.len() {
            self.words.resize(index + 1, 0);
        }
        let mask = bit_mask(task);
        let is_new = self.words[index] & mask == 0;
        self.words[index] |= mask;
        self.count += u32::from(is_new);
        is_new
    }

    /// Returns the number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Returns whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Encodes a chunk as it is stored: its bytes from the lowest task on, without trailing zeros, in
    /// base64 without padding.
    pub fn encode_chunk(&self, chunk: u32) -> String {
        let start = (chunk as usize * WORDS_PER_CHUNK).min(self.words.len());
        let end = (start + WORDS_PER_CHUNK).min(self.words.len());
        let words = self.words[start..end].iter();
        let mut bytes: Vec<u8> = words.flat_map(|word| word.to_le_bytes()).collect();
        while bytes.last() == Some(&0) {
            bytes.pop();
        }
        BASE64.encode(bytes)
    }

    /// Adds the tasks of a stored chunk whose numbers are below `task_count`. Returns false, and adds
    /// nothing, if the text is not base64.
    pub fn insert_chunk(&mut self, chunk: u32, text: &str, task_count: u32) -> bool {
        let Ok(bytes) = BASE64.decode(text) else {
            return false;
        };
        // The chunk number comes from a stored key and may be any number, so that the task number
        // could overflow 32 bits.
        let first_task = u64::from(chunk) * u64::from(TASKS_PER_CHUNK);
        for (index, byte) in bytes.iter().enumerate().take(BYTES_PER_CHUNK) {
            let first_of_byte = first_task + index as u64 * u64::from(BITS_PER_BYTE);
            for bit in 0..BITS_PER_BYTE {
                let task = first_of_byte + u64::from(bit);
                if byte & (1 << bit) != 0 && task < u64::from(task_count) {
                    self.insert(task as u32);
                }
            }
        }
        true
    }
}

/// Returns the mask of a task's bit in its word.
fn bit_mask(task: u32) -> u64 {
    1 << (task % BITS_PER_WORD)
}

#[cfg(test)]
mod tests;
