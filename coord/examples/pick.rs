//! Prompts with a common prefix go to the same endpoints; the remaining candidates are the less loaded of two random
//! ones.

use coord::pick::{Candidate, Picker, Quoted};
use coord::prefix::Chain;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn main() {
    let candidates: Vec<Candidate> = (0..12)
        .map(|number| Candidate {
            endpoint: format!("pluma-{number}").into(),
            outstanding: number % 5,
            active_tokens: 0,
            distance: 0,
        })
        .collect();
    let mut picker = Quoted { by_prefix: 2 };
    let mut random = SmallRng::seed_from_u64(1);
    for event in ["boda de Ana", "boda de Ana", "quince de Luz"] {
        let prompt = event.repeat(400);
        let picked = picker.candidates(&candidates, Chain::of(prompt.as_bytes()).head(), 3, &mut random);
        println!("{event}: {picked:?}");
    }
}
