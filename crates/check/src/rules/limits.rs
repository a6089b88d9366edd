//! Rules on the limits for callers.

use super::Rules;

impl Rules<'_> {
    pub(super) fn check_limits(&mut self) {
        let Some(entry) = &self.document.limits else { return };
        let limits = &entry.value;
        for (name, is_zero) in [
            ("max_header_bytes", limits.header_bytes == 0),
            ("header_timeout_ms", limits.header_timeout.is_zero()),
            ("idle_timeout_ms", limits.idle_timeout.is_zero()),
        ] {
            if is_zero {
                self.report(&entry.place, format!("`{name}` is zero"), "no request gets through");
            }
        }
        let Some(memory) = self.input.host.and_then(|it| it.memory_bytes) else { return };
        let request = limits.header_bytes.saturating_add(limits.body_bytes) as u64;
        if request > memory {
            let message = format!(
                "a request may have {request} bytes, and a host has {memory} bytes of memory"
            );
            self.report(&entry.place, message, "lower `max_body_bytes`");
        }
    }
}
