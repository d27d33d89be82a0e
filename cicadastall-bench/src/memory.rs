//! Memory use of this process, read from `/proc/self/status`.

use std::fs;

/// Resident memory of the whole process, in bytes; fails if `/proc` does not report it.
pub(crate) fn resident_bytes() -> eyre::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: u64 = line
        .and_then(|line| line.split_whitespace().next()?.parse().ok())
        .ok_or_else(|| eyre::eyre!("no resident size in /proc/self/status"))?;
    Ok(kib * 1024)
}
