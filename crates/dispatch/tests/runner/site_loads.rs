//! Loads like those of the installations: a payments company and a dispatch engine with eleven workers
//! each, and two with heavy load, caroni and llpcs.

use roseridge_model::TaskShape;

use crate::site_simulation::{
    ClassLoad,
    CustomerLoad,
    DemandWave,
    SiteLoad, //
};

/// Short urgent gangs.
const URGENT: ClassLoad = ClassLoad {
    rank: 0,
    arrivals_per_second: 0.35,
    value: 4.0,
    late_value: 0.8,
    stretch_percent: 150,
    latency_target_ms: 250,
    attempt_limit: 2,
    work_ms: (2_500.0, 0.5, 8_000.0),
    width: (3.0, 0.8, 18.0),
    second_step_probability: 0.0,
    accelerator_choices: &[1, 2, 4, 8, 8],
    millicores: 3_700,
    memory_mib: 11_000,
    gang: true,
    one_rack_probability: 0.8,
    checkpointing_probability: 0.0,
    estimate_error: 0.3,
    failure_probability: 0.02,
    cancel_probability: 0.0,
};

/// Long gangs of large tasks.
const STUDY: ClassLoad = ClassLoad {
    rank: 1,
    arrivals_per_second: 0.45,
    value: 3.0,
    late_value: 0.9,
    stretch_percent: 300,
    latency_target_ms: 1_000,
    attempt_limit: 3,
    work_ms: (8_500.0, 0.3, 11_000.0),
    width: (1.5, 0.8, 9.0),
    millicores: 13_000,
    memory_mib: 38_000,
    one_rack_probability: 0.6,
    checkpointing_probability: 0.45,
    estimate_error: 0.9,
    failure_probability: 0.01,
    cancel_probability: 0.05,
    ..URGENT
};

/// Wide steps of small tasks.
const ROSTER: ClassLoad = ClassLoad {
    rank: 2,
    arrivals_per_second: 0.25,
    value: 1.0,
    late_value: 0.3,
    stretch_percent: 300,
    latency_target_ms: 3_000,
    attempt_limit: 3,
    work_ms: (6_500.0, 0.3, 11_000.0),
    width: (9.2, 0.8, 55.0),
    second_step_probability: 0.3,
    accelerator_choices: &[1],
    millicores: 2_800,
    memory_mib: 11_000,
    gang: false,
    one_rack_probability: 0.0,
    checkpointing_probability: 0.45,
    estimate_error: 0.9,
    failure_probability: 0.03,
    cancel_probability: 0.15,
};

/// Returns the properties that both small installations share, without classes.
fn small_site() -> SiteLoad {
    let customer = |guaranteed| CustomerLoad {
        demand: 1.0,
        guaranteed,
    };
    SiteLoad {
        workers: 11,
        workers_per_rack: 2,
        shape: TaskShape::default(),
        classes: Vec::new(),
        waste_price: 0.0,
        speeds: vec![1.0],
        domains: 1,
        customers: [16, 8, 8, 8].map(customer).to_vec(),
        wave: None,
        step_spread: 0.0,
        long_run_probability: 0.0,
        restore_ms: 600,
        has_admission: false,
        has_paced_gangs: false,
        has_sparse_passes: false,
    }
}

/// Returns an installation like that of the payments company, with its arrival rates scaled by `load`.
pub(crate) fn payments(load: f64) -> SiteLoad {
    SiteLoad {
        workers: 11,
        workers_per_rack: 2,
        shape: TaskShape {
            millicores: 32_000,
            memory_mib: 131_072,
            accelerators: 8,
        },
        classes: vec![
            ClassLoad {
                arrivals_per_second: 0.6 * load,
                ..URGENT
            },
            ClassLoad {
                arrivals_per_second: 0.456 * load,
                ..STUDY
            },
            ClassLoad {
                arrivals_per_second: 0.275 * load,
                ..ROSTER
            },
        ],
        waste_price: 0.004,
        ..small_site()
    }
}

/// Returns an installation like that of the dispatch engine, with its arrival rates scaled by `load`.
pub(crate) fn dispatch(load: f64) -> SiteLoad {
    SiteLoad {
        workers: 11,
        workers_per_rack: 2,
        shape: TaskShape {
            millicores: 64_000,
            memory_mib: 131_072,
            accelerators: 8,
        },
        classes: vec![
            ClassLoad {
                arrivals_per_second: 0.3 * load,
                width: (3.4, 0.8, 21.0),
                millicores: 7_500,
                memory_mib: 15_000,
                estimate_error: 0.5,
                ..URGENT
            },
            ClassLoad {
                arrivals_per_second: 0.407 * load,
                millicores: 26_000,
                memory_mib: 68_000,
                attempt_limit: 4,
                ..STUDY
            },
            ClassLoad {
                arrivals_per_second: 0.196 * load,
                work_ms: (7_600.0, 0.3, 11_000.0),
                millicores: 5_600,
                memory_mib: 8_200,
                attempt_limit: 2,
                failure_probability: 0.005,
                ..ROSTER
            },
        ],
        waste_price: 0.0023,
        ..small_site()
    }
}

/// The demand of the ten customers of the heavily loaded installations. The last ones submit less than
/// their even share and hold the larger guarantees.
const TEN_CUSTOMERS: [CustomerLoad; 10] = [
    customer(3.0, 16),
    customer(2.0, 8),
    customer(1.5, 16),
    customer(1.0, 8),
    customer(0.7, 16),
    customer(0.5, 8),
    customer(0.4, 24),
    customer(0.4, 8),
    customer(0.3, 24),
    customer(0.2, 16),
];

const fn customer(demand: f64, guaranteed: u32) -> CustomerLoad {
    CustomerLoad { demand, guaranteed }
}

/// Returns what both heavily loaded installations share, without their classes.
fn heavy_site() -> SiteLoad {
    SiteLoad {
        customers: TEN_CUSTOMERS.to_vec(),
        step_spread: 0.3,
        long_run_probability: 0.03,
        has_admission: true,
        has_paced_gangs: true,
        has_sparse_passes: true,
        waste_price: 0.0005,
        ..small_site()
    }
}

/// Returns an installation like caroni, with its arrival rates scaled by `load`: 73 workers of uneven
/// speed and waves of demand.
pub(crate) fn caroni(load: f64) -> SiteLoad {
    SiteLoad {
        workers: 73,
        workers_per_rack: 12,
        shape: TaskShape {
            millicores: 128_000,
            memory_mib: 512_000,
            accelerators: 8,
        },
        // Work takes 0.55 or 1.2 of its nominal time.
        speeds: vec![1.0 / 0.55, 1.0 / 1.2, 1.0 / 1.2, 1.0 / 1.2],
        domains: 3,
        wave: Some(DemandWave {
            period_ms: 15_000.0,
            swing: 0.55,
        }),
        restore_ms: 100,
        classes: vec![
            ClassLoad {
                arrivals_per_second: 1.62 * load,
                latency_target_ms: 300,
                work_ms: (2_100.0, 0.4, 8_000.0),
                width: (5.0, 0.8, 30.0),
                millicores: 15_000,
                memory_mib: 61_000,
                estimate_error: 0.5,
                ..URGENT
            },
            ClassLoad {
                arrivals_per_second: 0.654 * load,
                work_ms: (7_200.0, 0.4, 20_000.0),
                width: (8.0, 0.8, 48.0),
                millicores: 52_000,
                memory_mib: 210_000,
                estimate_error: 0.5,
                ..STUDY
            },
            ClassLoad {
                arrivals_per_second: 0.467 * load,
                work_ms: (5_200.0, 0.4, 15_000.0),
                width: (39.0, 0.8, 234.0),
                millicores: 11_000,
                memory_mib: 33_000,
                estimate_error: 0.5,
                ..ROSTER
            },
        ],
        ..heavy_site()
    }
}

/// Returns an installation like llpcs, with its arrival rates scaled by `load`: 55 workers of even speed
/// that are nearly fully used.
pub(crate) fn llpcs(load: f64) -> SiteLoad {
    SiteLoad {
        workers: 55,
        workers_per_rack: 6,
        shape: TaskShape {
            millicores: 128_000,
            memory_mib: 256_000,
            accelerators: 8,
        },
        domains: 4,
        wave: Some(DemandWave {
            period_ms: 11_000.0,
            swing: 0.15,
        }),
        restore_ms: 250,
        classes: vec![
            ClassLoad {
                arrivals_per_second: 1.44 * load,
                latency_target_ms: 300,
                work_ms: (2_500.0, 0.4, 8_000.0),
                width: (5.0, 0.8, 30.0),
                millicores: 15_000,
                memory_mib: 30_000,
                estimate_error: 0.5,
                ..URGENT
            },
            ClassLoad {
                arrivals_per_second: 0.496 * load,
                late_value: 1.5,
                work_ms: (11_000.0, 0.4, 30_000.0),
                width: (6.0, 0.8, 36.0),
                millicores: 52_000,
                memory_mib: 105_000,
                estimate_error: 0.5,
                ..STUDY
            },
            ClassLoad {
                arrivals_per_second: 0.333 * load,
                late_value: 0.5,
                work_ms: (6_100.0, 0.4, 18_000.0),
                width: (39.0, 0.8, 234.0),
                millicores: 11_000,
                memory_mib: 16_000,
                estimate_error: 0.5,
                ..ROSTER
            },
        ],
        ..heavy_site()
    }
}
