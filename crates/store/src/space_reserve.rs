//! Disk space that a store keeps for its recovery from a full disk.

use std::{
    fs::OpenOptions,
    io, //
};

use crate::data_folder::DataFolder;

const RESERVE_FILE: &str = "reserve";

/// A file whose content has no meaning, and which is removed to make room when the disk is full.
#[derive(Debug)]
pub(crate) struct SpaceReserve {
    /// The size of the file, in bytes, or zero if there is none.
    bytes: usize,
}

impl SpaceReserve {
    /// Finds the reserve of a folder.
    pub(crate) fn find(folder: &DataFolder) -> Self {
        let length = folder.file_length(RESERVE_FILE).unwrap_or(0);
        Self {
            bytes: usize::try_from(length).unwrap_or(usize::MAX),
        }
    }

    /// Returns the size of the reserve, in bytes, or zero if it was released.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the size of the reserve, if it leaves `headroom_bytes` free for other files.
    ///
    /// Without headroom, the reserve itself would make the next write fail.
    ///
    /// # Errors
    ///
    /// Returns an error if there is not enough space. The reserve then keeps its size.
    pub(crate) fn resize(
        &mut self,
        folder: &DataFolder,
        bytes: usize,
        headroom_bytes: usize,
    ) -> io::Result<()> {
        let path = folder.file_path(RESERVE_FILE);
        let mut options = OpenOptions::new();
        let mut file = options.append(true).create(true).open(&path)?;
        let added_bytes = bytes.saturating_sub(self.bytes);
        let grown = match added_bytes {
            0 => Ok(()),
            added_bytes => folder.append_zeros(&mut file, &path, added_bytes + headroom_bytes),
        };
        if grown.is_ok() {
            self.bytes = bytes;
        }
        file.set_len(self.bytes as u64)?;
        grown
    }

    /// Removes the reserve, so that its space can be used.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be removed.
    pub(crate) fn release(&mut self, folder: &DataFolder) -> io::Result<()> {
        if self.bytes > 0 {
            std::fs::remove_file(folder.file_path(RESERVE_FILE))?;
            self.bytes = 0;
        }
        Ok(())
    }
}
