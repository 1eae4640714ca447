//! Tests of the adapter for the simulator's wire: its replies to messages, and its errors for malformed ones.

use shorepath::wire::serve;

const POWER_ON: &str = r#"{"t":"POWER_ON","scheduler":"scheduler-0","salt":5,"setup":{"classes":[{"name":"look",
"target_ms":100.0,"deadline_ms":1000.0,"semantics":"free"}],"replicas_of_me":1,"granularity_ms":1.0,
"projects":[{"name":"t","portion":1.0}],"zone":"z","unheard_of":{"a":[1]},"family_info":{"tells_start":true}}}"#;
const SYNC: &str = r#"{"t":"SYNC","scheduler":"scheduler-0","form":"stale_copy","epoch":1,
"items":[{"sku":"k","worker":"h:1","scale":2,"condition":"live","region_part":"z","group":0,"more":1}]}"#;

/// Feeds lines of input to the adapter. Returns its result and its replies.
fn serve_lines(lines: &[&str]) -> (Result<(), String>, Vec<serde_json::Value>) {
    let input: String = lines.iter().map(|l| l.replace('\n', "") + "\n").collect();
    let mut output = Vec::new();
    let result = serve(input.as_bytes(), &mut output);
    let text = String::from_utf8(output).unwrap();
    (result, text.lines().map(|l| serde_json::from_str(l).unwrap()).collect())
}

const FRAME: &str = r#"{"t":"FRAME","wall_ms":10.25}"#;
const YOUR_TURN: &str = r#"{"t":"YOUR_TURN"}"#;
const REQUEST: &str = r#"{"t":"REQUEST","scheduler":"scheduler-0","xid":9007199254,"user_group":"t",
"time_left_ms":900.5,"service":"look"}"#;

#[test]
fn request_is_answered_with_try_and_each_batch_with_end() {
    let (result, replies) = serve_lines(&[FRAME, YOUR_TURN, FRAME, POWER_ON, SYNC, REQUEST, YOUR_TURN]);
    assert_eq!(result, Ok(()));
    assert_eq!(replies[0], serde_json::json!({"t": "END"}));
    let expected_try =
        serde_json::json!({"t": "TRY", "scheduler": "scheduler-0", "xid": 9007199254u64, "worker": "h:1"});
    assert!(replies.contains(&expected_try), "{replies:?}");
    assert!(replies.iter().any(|r| r["t"] == "AFTER" && r["after_ms"].as_f64() > Some(0.0)));
    assert_eq!(replies.last().unwrap()["t"], "END");
}

#[test]
fn request_without_a_tenant_or_with_tenant_zero_is_accepted() {
    let tenant_zero = REQUEST.replace("\"t\",\n", "0,\n");
    let no_tenant = REQUEST.replace("\"user_group\":\"t\",", "");
    for request in [tenant_zero, no_tenant] {
        let (result, replies) = serve_lines(&[FRAME, POWER_ON, SYNC, &request, YOUR_TURN]);
        assert_eq!(result, Ok(()));
        assert!(replies.iter().any(|r| r["t"] == "TRY"), "{replies:?}");
    }
}

#[test]
fn halted_scheduler_restarts_without_an_endpoint_list() {
    let halt = r#"{"t":"HALT","scheduler":"scheduler-0"}"#;
    let (result, replies) = serve_lines(&[FRAME, POWER_ON, SYNC, halt, POWER_ON, REQUEST, YOUR_TURN]);
    assert_eq!(result, Ok(()));
    assert!(!replies.iter().any(|r| r["t"] == "TRY"), "{replies:?}");
}

#[test]
fn error_names_what_is_malformed() {
    for (line, expected) in [
        ("not json", "line 2"),
        (r#"{"t":"FRAME"}"#, "wall_ms"),
        (r#"{"t":"NO_SUCH","scheduler":"scheduler-0"}"#, "NO_SUCH"),
        (r#"{"t":"ELAPSED"}"#, "scheduler"),
        (r#"{"t":"ELAPSED","scheduler":"scheduler-9"}"#, "scheduler-9"),
        (r#"{"t":"REQUEST","scheduler":"scheduler-0","service":"look","time_left_ms":1.0}"#, "xid"),
        (r#"{"t":"REQUEST","scheduler":"scheduler-0","xid":1,"service":"x","time_left_ms":1.0}"#, "'x'"),
        (r#"{"t":"SYNC","scheduler":"scheduler-0","form":"odd","items":[]}"#, "odd"),
    ] {
        let (result, _) = serve_lines(&[POWER_ON, line]);
        let message = result.expect_err(line);
        assert!(message.contains(expected), "{line}: {message}");
    }
}

/// Guards against dropping the settings of the retry budget, or requests with a key. A missing number counts
/// as 0.
#[test]
fn retry_budget_limits_retries_of_requests_with_keys() {
    let two_endpoints = SYNC.replace(
        "\"items\":[",
        "\"items\":[{\"worker\":\"h:2\",\"condition\":\"live\",\"region_part\":\"z\"},",
    );
    let request = REQUEST.replace("\"user_group\"", "\"key\":\"fn:abc\",\"user_group\"");
    let overloaded = |worker: &str| {
        format!(
            r#"{{"t":"ATTEMPT_END","scheduler":"scheduler-0","xid":9007199254,"seq_no":0,"status":8,"worker":"{worker}"}}"#
        )
    };
    for (rules, is_retried) in [
        (r#""ratio_span_ms":1000.0,"extra_share":0.5"#, false),
        (r#""ratio_span_ms":1000.0,"min_extra":-3.0"#, false),
        (r#""ratio_span_ms":1000.0,"min_extra":1.0,"soft_removal":true"#, true),
        (r#""ratio_span_ms":1000.0"#, true),
        (r#""min_extra":0.0"#, true),
    ] {
        let power_on = POWER_ON
            .replace("\"zone\"", &format!("\"rules\":{{{rules}}},\"costs\":{{\"origin\":0.1}},\"zone\""));
        let (result, replies) = serve_lines(&[
            FRAME,
            &power_on,
            &two_endpoints,
            &request,
            YOUR_TURN,
            FRAME,
            &overloaded("h:1"),
            YOUR_TURN,
        ]);
        assert_eq!(result, Ok(()), "{rules}");
        let tries = replies.iter().filter(|r| r["t"] == "TRY").count();
        let is_refused = replies.iter().any(|r| r["t"] == "REFUSE");
        assert_eq!(
            (tries == 2, is_refused),
            (is_retried, !is_retried),
            "retry budget {rules}, expected a retry: {is_retried}; replies: {replies:?}"
        );
    }
}
