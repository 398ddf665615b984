//! Prints a comparison of the model with queueing theory: waiting times in M/M/1 and M/M/c, and response times in the
//! supermarket model with probe costs.
use std::thread;
use troutknot_emulator::theory::{Fleet, esm_response, mmc_wait};
use troutknot_emulator::*;

fn machine(cores: f64, probe_work: f64) -> Machine {
    Machine { slots: cores, cores, probe_work, ..Machine::default() }
}

fn main() {
    println!("| fleet | load | wait, theory | wait, model | off by |\n| --- | --- | --- | --- | --- |");
    let waits: Vec<(u32, f64)> = vec![(1, 0.5), (1, 0.8), (1, 0.9), (4, 0.8), (4, 0.9), (16, 0.9)];
    let rows = waits.into_iter().map(|(cores, load)| {
        thread::spawn(move || {
            let machine = machine(cores as f64, 0.0);
            let fleet = Fleet { executors: 1, machine, load, samples: 1, arrivals: 8_000_000, seed: 7 };
            let (theory, model) = (mmc_wait(cores, load), fleet.simulate().wait);
            let off = (model / theory - 1.0) * 100.0;
            println!("| M/M/{cores} | {load:.2} | {theory:.4} | {model:.4} | {off:+.1}% |");
        })
    });
    rows.collect::<Vec<_>>().into_iter().for_each(|row| row.join().unwrap());
    println!(
        "\n| load | d | C | response, formula | 500 executors | off by |\n| --- | --- | --- | --- | --- | --- |"
    );
    let mut rows = Vec::new();
    for load in [0.80, 0.90, 0.95] {
        for (d, c) in [(2, 0.0), (1, 0.003), (2, 0.003), (3, 0.003), (4, 0.003), (6, 0.003)] {
            rows.push(thread::spawn(move || {
                let formula = esm_response(d, load, c)?;
                let machine = machine(1.0, c);
                let samples = d as usize;
                let fleet = Fleet { executors: 500, machine, load, samples, arrivals: 3_000_000, seed: 7 };
                let model = fleet.simulate().response;
                let off = (model / formula - 1.0) * 100.0;
                Some(format!("| {load:.2} | {d} | {c} | {formula:.3} | {model:.3} | {off:+.1}% |"))
            }));
        }
    }
    for row in rows.into_iter().filter_map(|row| row.join().unwrap()) {
        println!("{row}");
    }
}
