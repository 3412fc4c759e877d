//! The multi-call program `testbed`.

fn main() {
    acaciabank_testbed::multicall::main();
}
