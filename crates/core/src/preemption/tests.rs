use super::*;

#[test]
fn stops_only_needed_lower_priority_tasks() {
    let r = |cpu| Resources { cpu, gpu: 0, mem: 0 };
    let c = |key, priority, cpu, loss| Candidate { key, priority, need: r(cpu), loss };
    let tasks = vec![
        c(1, Priority::Normal, 2, 0),
        c(2, Priority::Low, 1, 5),
        c(3, Priority::Low, 2, 9),
        c(4, Priority::High, 8, 0),
    ];
    let (v, _) =
        choose_victims(r(0), r(2), Priority::High, tasks.clone()).expect("enough can be freed");
    assert_eq!(v, vec![3], "task 2 alone does not free enough, so it is not stopped");
    assert!(choose_victims(r(0), r(6), Priority::High, tasks.clone()).is_none());
    assert!(
        choose_victims(r(0), r(1), Priority::Low, tasks).is_none(),
        "tasks of the same priority are not stopped"
    );
}
