//! The settings object and how it replaces settings in force.

use serde_json::json;
use shorepath_scheduler::{ClassId, Idempotency, LoadReport, NameTable, ReassignedClass, SettingsObject};

fn object(value: serde_json::Value) -> SettingsObject {
    serde_json::from_value(value).unwrap()
}

fn classes(classes: &[(&str, &str)]) -> SettingsObject {
    let class = |(name, semantics): &(&str, &str)| json!({"name": name, "semantics": semantics, "deadline_ms": 5000.0});
    object(json!({"classes": classes.iter().map(class).collect::<Vec<_>>()}))
}

/// Without their number a node takes itself for the only one, which probes nobody and calls at once.
#[test]
fn settings_without_the_number_of_nodes_stand_for_one() {
    let one = object(json!({"discovery": "on_request"}));
    assert_eq!((one.to_settings().0.schedulers, one.polling_nodes()), (1, 1));
    let many = object(json!({"discovery": "on_request", "replicas_of_me": 100}));
    assert_eq!((many.to_settings().0.schedulers, many.polling_nodes()), (100, 100));
    let pushed = object(json!({"discovery": "pushed", "replicas_of_me": 100}));
    assert_eq!((pushed.schedulers(), pushed.polling_nodes()), (100, 1));
}

/// A report's row is read by the fields that the settings name; what is missing is not known.
#[test]
fn reports_are_read_by_the_names_of_their_values() {
    let with = |x0: &str| {
        let report = json!({"fields": ["x0", "err_ps", "concurrent"], "how": "probe"});
        object(json!({"report": report, "family_info": {"report_x0": x0}}))
    };
    let settings = with("free slots");
    let report = |free_slots, in_flight| LoadReport { free_slots, in_flight };
    assert_eq!(settings.load_report_from_row(&[1.0, 0.0, 3.0]), report(Some(1.0), Some(3.0)));
    assert_eq!(settings.load_report_from_row(&[1.0]), report(Some(1.0), None));
    assert_eq!(with("free memory").load_report_from_row(&[1.0, 0.0, 3.0]).free_slots, None);
}

/// A class keeps its number while its rules stay. With other rules it gets a fresh one while jobs
/// use the old; numbers that nothing uses are used again, or they would grow with each reload.
#[test]
fn numbers_of_classes_go_on_meaning_what_open_jobs_came_under() {
    let (mut settings, mut catalog) = classes(&[("a", "free"), ("b", "free")]).to_settings();
    let is_used = |class: ClassId| class == ClassId(0);
    let next = classes(&[("b", "free"), ("a", "single_shot"), ("c", "free")]);
    let renewed = next.reconfigure(&mut catalog, &settings, is_used);
    let number = |names: &NameTable, name: &str| names.get(name);
    assert_eq!(number(&catalog.classes, "b"), Some(1));
    assert_eq!((number(&catalog.classes, "a"), number(&catalog.classes, "c")), (Some(2), Some(3)));
    let reassigned = |class, inherits_from| ReassignedClass { class: ClassId(class), inherits_from };
    assert_eq!(renewed.reassigned, [reassigned(2, Some(ClassId(0))), reassigned(3, None)]);
    let idempotency: Vec<_> = renewed.settings.classes.iter().map(|c| c.idempotency).collect();
    let (safe, never) = (Idempotency::Idempotent, Idempotency::NonIdempotent);
    assert_eq!(idempotency, [safe, safe, never, safe]);
    settings = renewed.settings;
    for k in 0..100 {
        let semantics = if k % 2 == 0 { "free" } else { "single_shot" };
        let next = classes(&[("a", semantics), ("d", semantics)]);
        settings = next.reconfigure(&mut catalog, &settings, is_used).settings;
        let names = &catalog.classes;
        assert_eq!((number(names, "b"), number(names, "c")), (None, None), "dropped");
        let of = |name: &str| settings.classes[number(names, name).unwrap() as usize].idempotency;
        assert_eq!((of("a"), of("d")), (of("d"), of("a")));
        assert_eq!((of("a") == safe, settings.classes[0].idempotency), (k % 2 == 0, safe));
    }
    assert_eq!(settings.classes.len(), 4);
}
