//! Dense indices for names that become known at run time.
use std::collections::HashMap;
use std::sync::Arc;

/// Assigns each name an index, counting from 0 in the order in which they become known.
///
/// Invariant: `names[by_name[name]] == name`. Names are never removed, so an index stays valid.
#[derive(Default, Debug)]
pub struct Interner {
    by_name: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
}

impl Interner {
    /// Returns the index of a name, and assigns the next one to a new name.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = self.names.len() as u32;
        let name: Arc<str> = name.into();
        self.names.push(name.clone());
        self.by_name.insert(name, index);
        index
    }

    /// Returns the index of a name; `None` if it has none.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.by_name.get(name).copied()
    }

    /// Returns the name for an index that [`Interner::intern`] returned.
    pub fn name(&self, index: u32) -> &str {
        &self.names[index as usize]
    }
}
