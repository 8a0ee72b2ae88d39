use super::*;
use std::future::pending;

#[tokio::test]
async fn reports_the_ended_task_and_its_cause() {
    let mut tasks = ServiceTasks::default();
    tasks.spawn("runs on".into(), pending());
    tasks.spawn("returns".into(), async {});
    let text = tasks.first_end().await.to_string();
    assert_eq!(text, "the task \"returns\" ended: it returned");

    tasks.spawn("panics".into(), async { panic!("on purpose") });
    match tasks.first_end().await {
        DriverError::TaskEnded { task, source } => {
            assert_eq!(task, "panics");
            assert!(source.is_some_and(|error| error.is_panic()));
        }
        other => panic!("{other}"),
    }
}
