//! Compares the model with queueing theory. The seeds are fixed, so that every run has the same result.
use troutknot_emulator::Machine;
use troutknot_emulator::theory::{Fleet, esm_response, mmc_wait};

fn assert_close(name: &str, model: f64, theory: f64, tolerance: f64) {
    assert!((model / theory - 1.0).abs() < tolerance, "{name}: {model} in the model, {theory} in theory");
}

#[test]
fn waiting_times_match_mmc() {
    for (cores, load) in [(1, 0.7), (4, 0.7)] {
        let machine = Machine { slots: cores as f64, cores: cores as f64, ..Machine::default() };
        let fleet = Fleet { executors: 1, machine, load, samples: 1, arrivals: 300_000, seed: 7 };
        assert_close(&format!("M/M/{cores}"), fleet.simulate().wait, mmc_wait(cores, load), 0.03);
    }
}

#[test]
fn response_times_match_the_supermarket_model_with_probe_costs() {
    for (probes, probe_cost) in [(1, 0.003), (2, 0.0), (2, 0.003), (2, 0.01)] {
        let machine = Machine { probe_work: probe_cost, ..Machine::default() };
        let samples = probes as usize;
        let fleet = Fleet { executors: 100, machine, load: 0.8, samples, arrivals: 300_000, seed: 7 };
        assert_close(
            &format!("d = {probes}, C = {probe_cost}"),
            fleet.simulate().response,
            esm_response(probes, 0.8, probe_cost).unwrap(),
            0.04,
        );
    }
}
