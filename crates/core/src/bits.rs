//! Compact sets of tasks, stored in chunks.
use base64::engine::general_purpose::STANDARD_NO_PAD as B64;
use base64::Engine;

/// Tasks per stored chunk: 3 KiB of bits, 4 KiB of text.
pub const CHUNK: u32 = 24 * 1024;

#[derive(Clone, Debug, Default)]
pub struct Bits {
    words: Vec<u64>,
    count: u32,
}

impl Bits {
    pub fn get(&self, i: u32) -> bool {
        self.words.get(i as usize / 64).is_some_and(|w| w & (1 << (i % 64)) != 0)
    }

    /// True if the bit was not set before.
    pub fn set(&mut self, i: u32) -> bool {
        let w = i as usize / 64;
        if w >= self.words.len() {
            self.words.resize(w + 1, 0);
        }
        let m = 1 << (i % 64);
        let fresh = self.words[w] & m == 0;
        self.words[w] |= m;
        self.count += u32::from(fresh);
        fresh
    }

    pub fn len(&self) -> u32 {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn encode_chunk(&self, chunk: u32) -> String {
        let words = CHUNK as usize / 64;
        let lo = (chunk as usize * words).min(self.words.len());
        let hi = (lo + words).min(self.words.len());
        let mut bytes: Vec<u8> = self.words[lo..hi].iter().flat_map(|w| w.to_le_bytes()).collect();
        while bytes.last() == Some(&0) {
            bytes.pop();
        }
        B64.encode(bytes)
    }

    /// Adds a stored chunk, no further than `limit` tasks. False if it can't be read.
    pub fn add_chunk(&mut self, chunk: u32, text: &str, limit: u32) -> bool {
        let Ok(bytes) = B64.decode(text) else {
            return false;
        };
        for (i, b) in bytes.iter().enumerate().take(CHUNK as usize / 8) {
            for k in 0..8 {
                let t = u64::from(chunk) * u64::from(CHUNK) + i as u64 * 8 + k;
                if b & (1 << k) != 0 && t < u64::from(limit) {
                    self.set(t as u32);
                }
            }
        }
        true
    }
}

#[cfg(test)]
mod tests;
