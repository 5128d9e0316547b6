//! Reads configuration files: regular files of limited size in UTF-8.

use std::fs::File;
use std::io::Read;
use std::path::Path;
use thiserror::Error;

/// Error of reading a text file.
#[derive(Debug, Error)]
pub enum FileError {
    /// Error of the operating system.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// Not a regular file. Reading a pipe, for example, would wait for its writer.
    #[error("not a file")]
    Kind,
    /// The file exceeds this limit, in bytes.
    #[error("longer than {0} bytes")]
    Long(u64),
    /// This line is not valid UTF-8.
    #[error("line {0}: not UTF-8")]
    Text(usize),
}

/// Reads a text file of at most `limit` bytes.
///
/// # Errors
/// Returns an error if the file is missing, is not a regular file, exceeds the limit, or is not valid
/// UTF-8.
pub fn read_text(path: &Path, limit: u64) -> Result<String, FileError> {
    // Checked before opening, because opening a pipe waits for its writer.
    if !std::fs::metadata(path)?.is_file() {
        return Err(FileError::Kind);
    }
    let mut bytes = Vec::new();
    File::open(path)?.take(limit + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > limit {
        return Err(FileError::Long(limit));
    }
    String::from_utf8(bytes).map_err(|e| {
        let before = e.as_bytes().get(..e.utf8_error().valid_up_to()).unwrap_or_default();
        FileError::Text(before.iter().filter(|b| **b == b'\n').count() + 1)
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_regular_utf_8_files_within_the_limit_are_read() {
        let dir = std::env::temp_dir().join(format!("daleturn-files-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let path = dir.join("file");
        std::fs::write(&path, "twelve bytes").unwrap();
        assert_eq!(read_text(&path, 12).unwrap(), "twelve bytes");
        assert!(matches!(read_text(&path, 11), Err(FileError::Long(11))));
        std::fs::write(&path, b"one\ntwo\nthr\xffe").unwrap();
        assert!(matches!(read_text(&path, 99), Err(FileError::Text(3))));
        assert!(matches!(read_text(&dir, 99), Err(FileError::Kind)));
        assert!(matches!(read_text(&dir.join("none"), 99), Err(FileError::System(_))));
        std::fs::remove_dir_all(dir).unwrap();
    }
}
