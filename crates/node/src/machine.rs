//! What the settings let the process use of its machine.

use bergamot_config::Settings;
use bergamot_resources::Machine;

const BYTES_PER_MEGABYTE: usize = 1_000_000;

/// Returns what the settings let the process use.
pub fn machine(settings: &Settings) -> Machine {
    let limits = &settings.limits;
    let descriptors = match limits.descriptors {
        // Without a limit of the operating system, the default applies.
        0 => rlimit::Resource::NOFILE
            .get()
            .map_or(Machine::default().descriptors as u64, |(soft, _)| soft),
        descriptors => descriptors,
    };
    Machine {
        memory_bytes: limits.memory_mb as usize * BYTES_PER_MEGABYTE,
        descriptors: usize::try_from(descriptors).unwrap_or(usize::MAX),
    }
}
