//! The operators' command line.

use std::env;
use std::process::exit;

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    exit(cli::run(&arguments));
}
