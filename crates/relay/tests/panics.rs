//! Containment of panics.

use std::{cell::Cell, rc::Rc};

use acaciabank_relay::panics;

/// Guards against a panic that ends the task around it, and against one whose message is lost.
#[tokio::test]
async fn a_panic_is_returned_to_the_task_around_it() {
    let returned = panics::catch(async { 7 }).await;
    assert_eq!(returned.expect("a value"), 7);
    let number = std::hint::black_box(3);
    let caught = panics::catch(async move { assert!(number == 2, "{number} is not two") }).await;
    assert_eq!(caught.expect_err("a panic").message(), "3 is not two");
}

/// Guards against a task of the process that is gone after a panic, while the process goes on.
#[tokio::test]
async fn a_task_is_started_again_after_a_panic() {
    let starts = Rc::new(Cell::new(0));
    let start = || {
        let starts = Rc::clone(&starts);
        async move {
            starts.set(starts.get() + 1);
            assert!(starts.get() >= 3, "start {}", starts.get());
        }
    };
    panics::run_task("test", start).await;
    assert_eq!(starts.get(), 3);
}
