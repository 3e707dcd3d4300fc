//! The size and the limits of a deployment.

/// The size and the limits of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    pub n_entry_hosts: usize,
    pub n_engines: usize,
    pub n_services: usize,
    pub concurrency: u32,
    pub max_queued: u32,
    pub max_age_s: u64,
    pub timeout_ms: u64,
}

impl Default for DeploymentOptions {
    fn default() -> DeploymentOptions {
        DeploymentOptions {
            n_entry_hosts: 1,
            n_engines: 2,
            n_services: 0,
            concurrency: 4,
            max_queued: 100,
            max_age_s: 1,
            timeout_ms: 20_000,
        }
    }
}
