//! Delivers duplicate frames and frames of another attempt to a receiver, which passes on only the complete answer of
//! the live attempt.

use coord::answer::{FrameDigest, Receiver};
use coord::name::Attempt;

fn main() {
    let (live, stale) = (Attempt(2), Attempt(1));
    let mut digest = FrameDigest::new();
    let mut receiver = Receiver::new(live);
    for text in ["Your ", "stall ", "permit"] {
        let number = digest.push(text.as_bytes());
        println!("{text:?} of a stale attempt: {:?}", receiver.accept(stale, number, text.as_bytes()));
        println!("{text:?}: {:?}", receiver.accept(live, number, text.as_bytes()));
        println!("{text:?} again: {:?}", receiver.accept(live, number, text.as_bytes()));
    }
    println!("complete: {}", receiver.is_complete(live, digest.seal()));
}
