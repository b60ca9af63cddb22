//! Logs panics as one line each, and counts them.

use std::panic::PanicHookInfo;
use std::sync::atomic::{AtomicU64, Ordering};

/// Longest part of a panic's message that is logged, in characters.
const MESSAGE_MAX_CHARS: usize = 200;

static PANICS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of panics since the process started.
pub fn panics() -> u64 {
    PANICS.load(Ordering::Relaxed)
}

/// Replaces the panic hook, which would write a backtrace to standard error.
pub(super) fn install_hook() {
    std::panic::set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    PANICS.fetch_add(1, Ordering::Relaxed);
    let place = info
        .location()
        .map_or_else(String::new, |location| location.to_string());
    let payload = info.payload();
    let text = payload
        .downcast_ref::<&str>()
        .copied()
        .or_else(|| payload.downcast_ref::<String>().map(String::as_str))
        .unwrap_or_default();
    let reason: String = text.chars().take(MESSAGE_MAX_CHARS).collect();
    log::error!(place = place.as_str(), reason = reason.as_str(); "panic");
}
