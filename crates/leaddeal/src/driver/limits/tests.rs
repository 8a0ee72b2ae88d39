use super::*;

fn limits(max_connections: usize, memory_mb: f64) -> ResourceLimits {
    ResourceLimits::from_settings(&Limits { cpu_share: 0.0, memory_mb, max_connections })
}

#[test]
fn uses_defaults_without_configured_limits() {
    let defaults = limits(0, 0.0);
    assert_eq!(defaults.max_connections, 5000);
    assert_eq!(defaults.max_worker_clients, 1250);
    assert_eq!(defaults.body_memory_kib, 8192);
}

#[test]
fn reserves_at_most_half_the_file_descriptors() {
    assert_eq!(limits(1000, 0.0).max_connections, 900);
    assert_eq!(limits(150, 0.0).max_connections, 75);
    assert_eq!(limits(1, 0.0).max_connections, 0);
}

#[test]
fn body_memory_is_an_eighth_with_a_minimum() {
    assert_eq!(limits(0, 256.0).body_memory_kib, 32 * 1024);
    assert_eq!(limits(0, 1.0).body_memory_kib, 1024);
}
