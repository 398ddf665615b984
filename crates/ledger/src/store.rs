//! Rows on disk, in one redb database. The key of a row is its request's number and its sequence among the rows of that
//! request. After a crash a commit is complete or absent; an incomplete one is rolled back. The rows of a forgotten
//! request are deleted, and their space is reused.
use crate::codec::{self, FORMAT, RowError};
use crate::record::{Record, Row};
use redb::backends::FileBackend;
use redb::{
    BackendError, Builder, ConcurrencyMode, Database, DatabaseError, ReadOnlyDatabase, ReadTransaction,
    ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageBackend, TableDefinition, TableError,
};
use std::fs::{File, OpenOptions};
use std::io;
use std::ops::{Bound, RangeInclusive};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use troutknot::RequestId;

/// Encoded rows by request number and sequence.
const ROWS: TableDefinition<(u64, u32), &[u8]> = TableDefinition::new("rows");
/// Properties of the file by name.
const METADATA: TableDefinition<&str, u64> = TableDefinition::new("about");
/// The name of the property that holds the format.
const FORMAT_KEY: &str = "format";
/// Upper bound on the memory for cached pages: 4 MiB.
const CACHE_BYTES: usize = 4 * 1024 * 1024;

/// Why a ledger cannot be used, or why a commit failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has the ledger open for writing.
    #[error("another process has it open")]
    InUse,
    /// A later release created the ledger, in a format that this release cannot read.
    #[error("unsupported ledger format {0}; this release reads up to {FORMAT}")]
    UnsupportedFormat(u64),
    /// The file cannot be read or written.
    #[error("{0}")]
    Disk(String),
    /// A row is damaged.
    #[error("row {sequence} of request {request_id}: {error}")]
    DamagedRow {
        /// The request.
        request_id: u64,
        /// The row's sequence.
        sequence: u32,
        /// What is wrong with the row.
        error: RowError,
    },
    /// The file is not a ledger.
    #[error("not a ledger file")]
    NotALedger,
}

fn disk_error(error: impl std::fmt::Display) -> StoreError {
    StoreError::Disk(error.to_string())
}

fn open_error(error: DatabaseError) -> StoreError {
    match error {
        DatabaseError::DatabaseAlreadyOpen => StoreError::InUse,
        other => disk_error(other),
    }
}

/// Counts of writes and syncs since the ledger was opened.
#[derive(Default, Debug)]
pub struct WriteStatistics {
    /// Write operations.
    pub writes: AtomicU64,
    /// Bytes written.
    pub bytes: AtomicU64,
    /// Sync operations.
    pub syncs: AtomicU64,
}

/// A storage backend that counts writes and syncs.
#[derive(Debug)]
struct CountingBackend<B: StorageBackend> {
    inner: B,
    statistics: Arc<WriteStatistics>,
}

type BackendResult<T> = Result<T, BackendError>;

impl<B: StorageBackend> StorageBackend for CountingBackend<B> {
    fn len(&self) -> io::Result<u64> {
        self.inner.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.inner.read(offset, out)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.inner.set_len(len)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.statistics.syncs.fetch_add(1, Ordering::Relaxed);
        self.inner.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.statistics.writes.fetch_add(1, Ordering::Relaxed);
        self.statistics.bytes.fetch_add(data.len() as u64, Ordering::Relaxed);
        self.inner.write(offset, data)
    }

    fn close(&self) -> io::Result<()> {
        self.inner.close()
    }

    fn try_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> BackendResult<bool> {
        self.inner.try_lock_range(start, end)
    }

    fn try_lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> BackendResult<bool> {
        self.inner.try_lock_shared_range(start, end)
    }

    fn lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> BackendResult<()> {
        self.inner.lock_range(start, end)
    }

    fn lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> BackendResult<()> {
        self.inner.lock_shared_range(start, end)
    }

    fn unlock_range(&self, start: Bound<u64>, end: Bound<u64>) -> BackendResult<()> {
        self.inner.unlock_range(start, end)
    }

    fn query_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> BackendResult<bool> {
        self.inner.query_lock_range(start, end)
    }
}

/// A ledger that is open for writing.
#[derive(Debug)]
pub struct Store {
    db: Database,
    statistics: Arc<WriteStatistics>,
}

impl Store {
    /// Opens or creates a ledger, and rolls back a commit that a crash interrupted. Other processes may read the ledger
    /// while it is open.
    ///
    /// # Errors
    /// If another process has it open for writing, if it cannot be read or written, or if a later release created it.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        let backend = FileBackend::new(file.map_err(disk_error)?).map_err(open_error)?;
        let store = Store::open_backend(backend, ConcurrencyMode::SingleWriter)?;
        // A crash can lose the directory entry of a new file until the directory is synced.
        let directory = path.parent().filter(|parent| !parent.as_os_str().is_empty());
        let directory = File::open(directory.unwrap_or(Path::new(".")));
        directory.and_then(|directory| directory.sync_all()).map_err(disk_error)?;
        Ok(store)
    }

    /// Like [`Store::open`], on a storage backend that nothing else uses.
    ///
    /// # Errors
    /// As for [`Store::open`].
    pub fn with_backend(backend: impl StorageBackend) -> Result<Self, StoreError> {
        Store::open_backend(backend, ConcurrencyMode::ExclusiveWriter)
    }

    fn open_backend(backend: impl StorageBackend, mode: ConcurrencyMode) -> Result<Self, StoreError> {
        let statistics = Arc::<WriteStatistics>::default();
        let backend = CountingBackend { inner: backend, statistics: statistics.clone() };
        let db = Builder::new()
            .set_cache_size(CACHE_BYTES)
            .set_concurrency_mode(mode)
            .create_with_backend(backend);
        let store = Store { db: db.map_err(open_error)?, statistics };
        let format = read_format(&store.db.begin_read().map_err(disk_error)?)?;
        if format.is_none() {
            let txn = store.begin_write()?;
            {
                txn.open_table(ROWS).map_err(disk_error)?;
                let mut metadata = txn.open_table(METADATA).map_err(disk_error)?;
                metadata.insert(FORMAT_KEY, u64::from(FORMAT)).map_err(disk_error)?;
            }
            txn.commit().map_err(disk_error)?;
        }
        Ok(store)
    }

    fn begin_write(&self) -> Result<redb::WriteTransaction, StoreError> {
        let mut txn = self.db.begin_write().map_err(disk_error)?;
        txn.set_two_phase_commit(true);
        Ok(txn)
    }

    /// Returns the counts of writes and syncs since the ledger was opened.
    pub fn statistics(&self) -> &Arc<WriteStatistics> {
        &self.statistics
    }

    /// Writes rows atomically and syncs them. An existing row is overwritten, so that a commit whose result is unknown
    /// can be repeated.
    ///
    /// # Errors
    /// If the disk fails. The rows may be on disk even so.
    pub fn commit<'a>(&self, rows: impl IntoIterator<Item = &'a Row>) -> Result<(), StoreError> {
        let txn = self.begin_write()?;
        {
            let mut table = txn.open_table(ROWS).map_err(disk_error)?;
            for row in rows {
                let request_id = row.record.request_id();
                if let Record::Forgotten { .. } = row.record {
                    table.retain_in(key_range(request_id), |_, _| false).map_err(disk_error)?;
                } else {
                    let bytes = codec::encode(row.recorded_at, &row.record);
                    table.insert((request_id.0, row.sequence), bytes.as_slice()).map_err(disk_error)?;
                }
            }
        }
        txn.commit().map_err(disk_error)
    }

    /// Returns unused space to the file system. The result is false if there was none.
    ///
    /// # Errors
    /// If the disk fails.
    pub fn compact(&mut self) -> Result<bool, StoreError> {
        self.db.compact().map_err(disk_error)
    }

    /// Checks every page, and repairs what it can. The result is false if something had to be repaired.
    ///
    /// # Errors
    /// If the file is damaged beyond repair.
    pub fn check_integrity(&mut self) -> Result<bool, StoreError> {
        self.db.check_integrity().map_err(disk_error)
    }
}

/// Returns the range of the keys of a request's rows.
fn key_range(request_id: RequestId) -> RangeInclusive<(u64, u32)> {
    (request_id.0, 0)..=(request_id.0, u32::MAX)
}

/// Returns the format that a ledger was created in, or `None` if the file has no ledger yet.
fn read_format(txn: &ReadTransaction) -> Result<Option<u64>, StoreError> {
    let metadata = match txn.open_table(METADATA) {
        Ok(metadata) => metadata,
        Err(TableError::TableDoesNotExist(_)) => return Ok(None),
        Err(other) => return Err(disk_error(other)),
    };
    let format = metadata.get(FORMAT_KEY).map_err(disk_error)?.map(|entry| entry.value());
    match format {
        Some(format) if format > u64::from(FORMAT) => Err(StoreError::UnsupportedFormat(format)),
        other => Ok(other),
    }
}

/// Read access to the rows of a ledger, from the process that writes it or from another one.
pub trait Rows {
    #[doc(hidden)]
    fn begin_read(&self) -> Result<ReadTransaction, StoreError>;

    /// Calls `visit` for each row, by request and then by sequence. A damaged row is passed as an error, and the rows
    /// after it are still visited.
    ///
    /// # Errors
    /// If the file cannot be read to its end.
    fn for_each_row(&self, mut visit: impl FnMut(Result<Row, StoreError>)) -> Result<(), StoreError> {
        let txn = self.begin_read()?;
        for entry in txn.open_table(ROWS).map_err(disk_error)?.iter().map_err(disk_error)? {
            let (key, bytes) = entry.map_err(disk_error)?;
            let (request_id, sequence) = key.value();
            visit(decode_row(request_id, sequence, bytes.value()));
        }
        Ok(())
    }

    /// Reads the rows of one request in order.
    ///
    /// # Errors
    /// If a row is damaged, or if the file cannot be read.
    fn read_rows(&self, request_id: RequestId) -> Result<Vec<Row>, StoreError> {
        let txn = self.begin_read()?;
        let table = txn.open_table(ROWS).map_err(disk_error)?;
        let mut rows = Vec::new();
        for entry in table.range(key_range(request_id)).map_err(disk_error)? {
            let (key, bytes) = entry.map_err(disk_error)?;
            rows.push(decode_row(request_id.0, key.value().1, bytes.value())?);
        }
        Ok(rows)
    }

    /// Returns the number of rows.
    ///
    /// # Errors
    /// If the file cannot be read.
    fn row_count(&self) -> Result<u64, StoreError> {
        self.begin_read()?.open_table(ROWS).map_err(disk_error)?.len().map_err(disk_error)
    }
}

/// Decodes a row and checks that it belongs to the request of its key.
fn decode_row(request_id: u64, sequence: u32, bytes: &[u8]) -> Result<Row, StoreError> {
    let damaged = |error| StoreError::DamagedRow { request_id, sequence, error };
    let row = codec::decode(sequence, bytes).map_err(damaged)?;
    if row.record.request_id() != RequestId(request_id) {
        return Err(damaged(RowError::RequestMismatch));
    }
    Ok(row)
}

impl Rows for Store {
    fn begin_read(&self) -> Result<ReadTransaction, StoreError> {
        self.db.begin_read().map_err(disk_error)
    }
}

/// A ledger that is open for reading only, while another process writes it or after that process has ended.
pub enum Reader {
    /// The file itself, as of the last commit.
    Live(ReadOnlyDatabase),
    /// A copy in memory, in which a commit that a crash interrupted was rolled back. The file is not changed.
    Copy(Box<Store>),
}

impl Reader {
    /// Opens a ledger without changing the file.
    ///
    /// # Errors
    /// If it cannot be read, if it is not a ledger, or if a later release created it.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        let live = Builder::new().set_concurrency_mode(ConcurrencyMode::SingleWriter).open_read_only(path);
        let reader = match live {
            Ok(db) => Reader::Live(db),
            Err(DatabaseError::DatabaseAlreadyOpen) => return Err(StoreError::InUse),
            Err(_) => {
                let bytes = std::fs::read(path).map_err(disk_error)?;
                if bytes.is_empty() {
                    return Err(StoreError::NotALedger);
                }
                Reader::Copy(Box::new(Store::with_backend(MemoryBackend(Mutex::new(bytes)))?))
            }
        };
        let format = read_format(&reader.begin_read()?)?;
        format.map(|_| reader).ok_or(StoreError::NotALedger)
    }
}

impl Rows for Reader {
    fn begin_read(&self) -> Result<ReadTransaction, StoreError> {
        match self {
            Reader::Live(db) => db.begin_read().map_err(disk_error),
            Reader::Copy(store) => store.begin_read(),
        }
    }
}

/// A storage backend in memory, filled with the bytes of a file.
#[derive(Debug)]
struct MemoryBackend(Mutex<Vec<u8>>);

impl MemoryBackend {
    fn lock(&self) -> io::Result<MutexGuard<'_, Vec<u8>>> {
        self.0.lock().map_err(|_| io::Error::other("a reader panicked"))
    }

    /// Applies `access` to the `len` bytes at `offset`.
    fn access<R>(&self, offset: u64, len: usize, access: impl FnOnce(&mut [u8]) -> R) -> io::Result<R> {
        let mut bytes = self.lock()?;
        let start = usize::try_from(offset).map_err(io::Error::other)?;
        let part = start.checked_add(len).and_then(|end| bytes.get_mut(start..end));
        part.map(access).ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}

impl StorageBackend for MemoryBackend {
    fn len(&self) -> io::Result<u64> {
        self.lock().map(|bytes| bytes.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.access(offset, out.len(), |part| out.copy_from_slice(part))
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut bytes = self.lock()?;
        bytes.resize(usize::try_from(len).map_err(io::Error::other)?, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.access(offset, data.len(), |part| part.copy_from_slice(data))
    }
}
