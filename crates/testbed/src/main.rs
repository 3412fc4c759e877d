//! Multi-call binary that runs each kind of process of the test bed.

fn main() {
    acaciabank_testbed::multicall::main();
}
