use super::*;

#[test]
fn reports_groups_under_half_served() {
    let mut s = Served::default();
    let job = |class, tasks, submitted_at| {
        let (team, started_tasks) = ("free".to_string(), BTreeSet::new());
        WantedJob { class, team, tasks, submitted_at, started_at: None, started_tasks }
    };
    for n in 0..20u32 {
        s.jobs.insert(format!("wk-{n:06}"), job("array", n + 1, 1000));
    }
    s.jobs.insert("wk-000099".into(), job("gang", 2, 1000));
    s.jobs.insert("wk-000100".into(), job("gang", 1, 900_000));
    // The 18 smaller arrays are fully served; the 2 largest only start one task each, too late.
    for n in 0..18u32 {
        (0..=n).for_each(|t| s.started(&format!("wk-{n:06}/{t}"), 2000));
    }
    s.started("wk-000018/0", 2000 + LARGEST_START_MS);
    s.started("wk-000019/0", 2000 + LARGEST_START_MS);
    let teams = BTreeSet::from(["free"]);
    let under = |s: &Served| -> Vec<String> {
        let all = s.shares(10_000, &teams).into_iter();
        all.filter(Share::under_half).map(|x| x.who).collect()
    };
    let gang = ["class gang", "largest array", "largest array begun", "largest gang"];
    assert_eq!(under(&s), [&gang[..], &["largest gang begun"]].concat());
    s.cancelled("wk-000099");
    assert_eq!(under(&s), ["largest array", "largest array begun"]);
}
