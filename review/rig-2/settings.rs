//! Settings of a small deployment like `odense-klima`, in the form of the wire page.

/// A class of requests.
#[derive(Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    /// `free`, `guarded` or `single_shot`.
    pub semantics: &'static str,
    pub deadline_ms: u32,
    /// How long repeats are dropped, by the executors of one zone; for `guarded`.
    pub dedup_window_ms: u32,
}

/// The settings that differ from case to case.
pub struct Settings {
    pub classes: Vec<Class>,
    /// `pushed` or `on_request`.
    pub discovery: &'static str,
    /// Whether two attempts of a request may be out together.
    pub second_copies: bool,
    pub drain_grace_ms: u32,
}

impl Settings {
    /// Returns the settings object as JSON.
    pub fn json(&self) -> String {
        let classes: Vec<String> = self.classes.iter().map(Class::json).collect();
        let for_each = |value: &str| vec![value; classes.len()].join(",");
        format!(
            r#"{{"allowed":{{"cancel":true,"conn_idle_ms":5000.0,"connect_timeout_ms":150.0,"cpu_us_per_request":0.0,"cpu_us_per_s":8000,"max_open":20000,"max_retry_after_ms":2000.0,"multiplex":1,"peers":false,"probing":false,"retry_after":true,"second_copies":{},"try_limit":6}},
"azs":["home"],
"blend":{{"whole":0.35,"worst_class":0.2,"worst_tenant":0.25,"worst_window":0.2}},
"classes":[{}],
"clients":{{"marks_retry":false}},
"costs":{{"connection":0.0,"cross_zone":0.1,"discovery":0.0,"handshake":0.0,"late_fail":0.033,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.3}},
"discovery":"{}",
"family_info":{{"class_kind":[{}],"class_priority":[{}],"class_stretch":[{}],"memory_unit":"a worker has one unit for each slot","notes":"1 it has started, 2 share done","progress_ms":2000.0,"queue_order":"fifo","report_x0":"free slots","report_x1":"free memory","tells_start":true}},
"granularity_ms":4.0,"kinds":["standard"],"over_share_worth":0.2,
"projects":[{{"name":"fyn-gartnerier","portion":1.0,"quota_rps":200.0}}],
"rank":0,"replicas_of_me":1,
"report":{{"fields":["x0","err_ps","concurrent"],"how":"none"}},
"rules":{{"answer_slack_ms":16.0,"ask_within_ms":10000.0,"cold_ms":24000.0,"cold_share":0.13,"drain_grace_ms":{}.0,"fall_ms":2000.0,"tip_multiple":4.0}},
"tier":0,"tiers":["klimaberegning"],"value_by":"request","weights":"nominal","workload":"jobs","zone":"home"}}"#,
            self.second_copies,
            classes.join(","),
            self.discovery,
            for_each("-1"),
            for_each("0"),
            for_each("2.0"),
            self.drain_grace_ms,
        )
    }
}

impl Class {
    fn json(&self) -> String {
        format!(
            r#"{{"name":"{}","semantics":"{}","deadline_ms":{}.0,"dedup_window_ms":{}.0,"group":"zone","late_worth":0.3,"stream":false,"target_ms":200.0,"worth":3.0}}"#,
            self.name, self.semantics, self.deadline_ms, self.dedup_window_ms
        )
    }
}
