//! Splits a limit of 100 requests per second by demand, and takes requests from a bucket until it returns a waiting
//! time.

use coord::quota::{Bucket, split_rate};
use coord::time::Moment;

fn main() {
    println!("demand 10, 20, 30: {:?}", split_rate(100.0, &[10.0, 20.0, 30.0]));
    println!("demand 200, 50, 0: {:?}", split_rate(100.0, &[200.0, 50.0, 0.0]));
    let now = Moment::from_millis(1_000);
    let mut bucket = Bucket::new(2.0, now);
    for number in 1..=3 {
        println!("request {number}: {:?}", bucket.try_take(1.0, now));
    }
}
