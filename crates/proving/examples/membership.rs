//! Measures membership in virtual time: `cargo run --release -p weirusher-proving --example membership`.

use weirusher_proving::membership::{Member, Network, Way, measure};

fn main() {
    let args: Vec<u64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let (size, loss, quiet, deaths) = (args[0] as u16, args[1] as f64 / 100.0, args[2], args[3] as u32);
    let net = Network::new(size, 1, move |me, incarnation, now| {
        Member::new(size, me, incarnation, u64::from(me), now)
    });
    println!("{:#?}", measure(net, Way { loss, ..Way::default() }, 1000 * quiet, deaths, 2));
}
