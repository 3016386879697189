//! File operations in a data folder, with fault injection for tests.

use std::{
    fmt,
    fs::{
        self,
        File,
        OpenOptions, //
    },
    io::{
        self,
        Write, //
    },
    path::{
        Path,
        PathBuf, //
    },
    sync::Arc,
};

use snafu::ResultExt;

use crate::{
    StoreError,
    store_error::FileAccessSnafu, //
};

const TEMPORARY_SUFFIX: &str = "tmp";
/// The number of zeros that are written at once, in bytes.
const ZEROS_BYTES: usize = 65_536;

/// A file operation for which a test can inject a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FileOperation {
    /// Writes bytes to a file.
    Write,
    /// Syncs the content of a file.
    Sync,
    /// Renames a complete temporary file to its final name.
    Rename,
    /// Syncs the entries of the folder.
    SyncFolder,
}

type FaultCheck = dyn Fn(FileOperation, &Path) -> io::Result<()> + Send + Sync;
type FreeSpace = dyn Fn(&Path) -> usize + Send + Sync;

/// Injects faults into file operations; by default there are none.
#[derive(Clone, Default)]
pub struct FileFaults {
    check: Option<Arc<FaultCheck>>,
    free_bytes: Option<Arc<FreeSpace>>,
}

impl FileFaults {
    /// Creates an injector from a closure that is called before each operation with the path of the
    /// file, and whose error becomes the error of the operation.
    pub fn new(
        check: impl Fn(FileOperation, &Path) -> io::Result<()> + Send + Sync + 'static,
    ) -> Self {
        Self {
            check: Some(Arc::new(check)),
            free_bytes: None,
        }
    }

    /// Creates an injector from a closure that is called before each write with the path of the
    /// folder. The write is cut short at the returned number of bytes and fails, as on a disk
    /// without more space.
    pub fn limited_space(free_bytes: impl Fn(&Path) -> usize + Send + Sync + 'static) -> Self {
        Self {
            check: None,
            free_bytes: Some(Arc::new(free_bytes)),
        }
    }

    fn check(&self, operation: FileOperation, path: &Path) -> io::Result<()> {
        self.check
            .as_ref()
            .map_or(Ok(()), |check| check(operation, path))
    }

    fn write(&self, folder: &Path, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        let free_bytes = self
            .free_bytes
            .as_ref()
            .map(|free_bytes| free_bytes(folder));
        match free_bytes {
            Some(free_bytes) if free_bytes < bytes.len() => {
                file.write_all(&bytes[..free_bytes])?;
                Err(io::ErrorKind::StorageFull.into())
            }
            _ => file.write_all(bytes),
        }
    }
}

impl fmt::Debug for FileFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FileFaults").finish_non_exhaustive()
    }
}

/// An open data folder.
#[derive(Debug)]
pub(crate) struct DataFolder {
    path: PathBuf,
    faults: FileFaults,
}

impl DataFolder {
    pub(crate) fn new(path: &Path, faults: FileFaults) -> Result<Self, StoreError> {
        fs::create_dir_all(path).context(FileAccessSnafu { path })?;
        Ok(Self {
            path: path.to_owned(),
            faults,
        })
    }

    pub(crate) fn path(&self) -> &Path {
        &self.path
    }

    pub(crate) fn file_path(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Returns the sorted names of the files, after removing the temporary files that a crash left
    /// behind.
    pub(crate) fn list_files(&self) -> Result<Vec<String>, StoreError> {
        let path = &self.path;
        let mut names = Vec::new();
        for file in fs::read_dir(path).context(FileAccessSnafu { path })? {
            let file = file.context(FileAccessSnafu { path })?;
            let name = file.file_name().to_string_lossy().into_owned();
            match name.ends_with(TEMPORARY_SUFFIX) {
                true => self.remove(&name)?,
                false => names.push(name),
            }
        }
        names.sort();
        Ok(names)
    }

    pub(crate) fn read(&self, name: &str) -> Result<Vec<u8>, StoreError> {
        let path = self.file_path(name);
        fs::read(&path).context(FileAccessSnafu { path })
    }

    pub(crate) fn remove(&self, name: &str) -> Result<(), StoreError> {
        let path = self.file_path(name);
        fs::remove_file(&path).context(FileAccessSnafu { path })
    }

    /// Returns the length of a file, in bytes, or `None` if it can't be read.
    pub(crate) fn file_length(&self, name: &str) -> Option<u64> {
        fs::metadata(self.file_path(name)).map(|m| m.len()).ok()
    }

    /// Truncates a file to a length and opens it for appending.
    pub(crate) fn open_for_append(&self, name: &str, length: usize) -> Result<File, StoreError> {
        let path = self.file_path(name);
        let open = || {
            let file = OpenOptions::new().append(true).open(&path)?;
            file.set_len(length as u64)?;
            file.sync_all()?;
            Ok(file)
        };
        open().context(FileAccessSnafu { path: &path })
    }

    /// Appends bytes to an open file and syncs them.
    pub(crate) fn append(&self, file: &mut File, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.faults.check(FileOperation::Write, path)?;
        self.faults.write(&self.path, file, bytes)?;
        self.faults.check(FileOperation::Sync, path)?;
        file.sync_data()
    }

    /// Appends zeros to an open file and syncs them.
    pub(crate) fn append_zeros(
        &self,
        file: &mut File,
        path: &Path,
        bytes: usize,
    ) -> io::Result<()> {
        self.faults.check(FileOperation::Write, path)?;
        let zeros = [0; ZEROS_BYTES];
        let mut remaining = bytes;
        while remaining > 0 {
            let count = remaining.min(ZEROS_BYTES);
            self.faults.write(&self.path, file, &zeros[..count])?;
            remaining -= count;
        }
        self.faults.check(FileOperation::Sync, path)?;
        file.sync_all()
    }

    /// Creates a file atomically and durably: after a crash it is complete or absent.
    pub(crate) fn create(&self, name: &str, bytes: &[u8]) -> Result<PathBuf, StoreError> {
        let path = self.file_path(name);
        let temporary = self.file_path(&format!("{name}.{TEMPORARY_SUFFIX}"));
        let create = || {
            let mut file = File::create(&temporary)?;
            self.append(&mut file, &path, bytes)?;
            self.faults.check(FileOperation::Rename, &path)?;
            fs::rename(&temporary, &path)?;
            self.sync_names(&path)
        };
        create().context(FileAccessSnafu { path: &path })?;
        Ok(path)
    }

    /// Makes the names of the files durable.
    pub(crate) fn sync(&self) -> Result<(), StoreError> {
        let path = &self.path;
        self.sync_names(path).context(FileAccessSnafu { path })
    }

    /// Syncs the folder, for a change to the file at a path.
    fn sync_names(&self, path: &Path) -> io::Result<()> {
        self.faults.check(FileOperation::SyncFolder, path)?;
        File::open(&self.path)?.sync_all()
    }
}
