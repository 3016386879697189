//! The space of a fake disk.

use std::{
    fs,
    path::Path,
    sync::{
        Arc,
        atomic::{
            AtomicUsize,
            Ordering, //
        },
    },
};

/// A disk of a given size that holds one folder.
#[derive(Debug, Clone)]
pub struct LimitedDisk {
    capacity: Arc<AtomicUsize>,
}

impl LimitedDisk {
    /// Creates a disk of `capacity` bytes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: Arc::new(AtomicUsize::new(capacity)),
        }
    }

    /// Changes the size of the disk, as other files on it do.
    pub fn set_capacity(&self, capacity: usize) {
        self.capacity.store(capacity, Ordering::Relaxed);
    }

    /// Returns the number of bytes that can still be written to a folder on the disk.
    pub fn free_bytes(&self, folder: &Path) -> usize {
        let capacity = self.capacity.load(Ordering::Relaxed);
        capacity.saturating_sub(folder_bytes(folder))
    }
}

/// Returns the total size of the files in a folder, or zero if it does not exist.
pub fn folder_bytes(folder: &Path) -> usize {
    let files = fs::read_dir(folder).into_iter().flatten();
    // A file may be removed while the folder is read.
    let lengths = files.filter_map(|file| Some(file.ok()?.metadata().ok()?.len()));
    usize::try_from(lengths.sum::<u64>()).unwrap_or(usize::MAX)
}
