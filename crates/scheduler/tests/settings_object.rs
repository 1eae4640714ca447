//! Tests of the settings object: its values, and how it replaces the settings of a running scheduler.

use serde_json::json;
use shorepath_scheduler::{ClassId, Idempotency, LoadReport, NameTable, ReassignedClass, SettingsObject};

fn object(value: serde_json::Value) -> SettingsObject {
    serde_json::from_value(value).unwrap()
}

fn classes(classes: &[(&str, &str)]) -> SettingsObject {
    let class = |(name, semantics): &(&str, &str)| json!({"name": name, "semantics": semantics, "deadline_ms": 5000.0});
    object(json!({"classes": classes.iter().map(class).collect::<Vec<_>>()}))
}

/// Guards against a node that probes, or spreads out its polls, as one of many although no number of nodes is
/// set.
#[test]
fn settings_without_a_number_of_nodes_mean_one_node() {
    let one = object(json!({"discovery": "on_request"}));
    assert_eq!((one.to_settings().0.schedulers, one.polling_nodes()), (1, 1));
    let many = object(json!({"discovery": "on_request", "replicas_of_me": 100}));
    assert_eq!((many.to_settings().0.schedulers, many.polling_nodes()), (100, 100));
    let pushed = object(json!({"discovery": "pushed", "replicas_of_me": 100}));
    assert_eq!((pushed.schedulers(), pushed.polling_nodes()), (100, 1));
}

/// Guards against reading a load report's values in the wrong order, or missing ones as 0.
#[test]
fn load_report_values_are_read_by_field_name() {
    let with_x0 = |x0: &str| {
        let report = json!({"fields": ["x0", "err_ps", "concurrent"], "how": "probe"});
        object(json!({"report": report, "family_info": {"report_x0": x0}}))
    };
    let settings = with_x0("free slots");
    let report = |free_slots, in_flight| LoadReport { free_slots, in_flight };
    assert_eq!(settings.load_report_from_row(&[1.0, 0.0, 3.0]), report(Some(1.0), Some(3.0)));
    assert_eq!(settings.load_report_from_row(&[1.0]), report(Some(1.0), None));
    assert_eq!(with_x0("free memory").load_report_from_row(&[1.0, 0.0, 3.0]).free_slots, None);
}

/// Guards against changing the rules of running requests by a reload, and against class ids that grow with
/// each reload.
#[test]
fn class_ids_keep_their_rules_while_used_and_are_reused_afterwards() {
    let (mut settings, mut catalog) = classes(&[("a", "free"), ("b", "free")]).to_settings();
    let is_used = |class: ClassId| class == ClassId(0);
    let next = classes(&[("b", "free"), ("a", "single_shot"), ("c", "free")]);
    let reconfigured = next.reconfigure(&mut catalog, &settings, is_used);
    let id = |names: &NameTable, name: &str| names.get(name);
    assert_eq!(id(&catalog.classes, "b"), Some(1));
    assert_eq!((id(&catalog.classes, "a"), id(&catalog.classes, "c")), (Some(2), Some(3)));
    let reassigned = |class, inherits_from| ReassignedClass { class: ClassId(class), inherits_from };
    assert_eq!(reconfigured.reassigned, [reassigned(2, Some(ClassId(0))), reassigned(3, None)]);
    let idempotency: Vec<_> = reconfigured.settings.classes.iter().map(|c| c.idempotency).collect();
    let (idempotent, non_idempotent) = (Idempotency::Idempotent, Idempotency::NonIdempotent);
    assert_eq!(idempotency, [idempotent, idempotent, non_idempotent, idempotent]);
    settings = reconfigured.settings;
    for k in 0..100 {
        let semantics = if k % 2 == 0 { "free" } else { "single_shot" };
        let next = classes(&[("a", semantics), ("d", semantics)]);
        settings = next.reconfigure(&mut catalog, &settings, is_used).settings;
        let names = &catalog.classes;
        assert_eq!(
            (id(names, "b"), id(names, "c")),
            (None, None),
            "classes that are no longer listed have no id"
        );
        let idempotency_of = |name: &str| settings.classes[id(names, name).unwrap() as usize].idempotency;
        assert_eq!((idempotency_of("a"), idempotency_of("d")), (idempotency_of("d"), idempotency_of("a")));
        assert_eq!(
            (idempotency_of("a") == idempotent, settings.classes[0].idempotency),
            (k % 2 == 0, idempotent)
        );
    }
    assert_eq!(settings.classes.len(), 4);
}
