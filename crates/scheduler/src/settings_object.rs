//! The settings object of a deployment, as the simulator's wire and the node's configuration encode it.

use crate::endpoint::LoadReport;
use crate::ids::{ClassId, KindId, ZoneId};
use crate::names::{Catalog, NameTable};
use crate::settings::{
    ClassSettings, DedupScope, Idempotency, ReassignedClass, Reconfiguration, RetryBudget, Settings,
    TenantSettings,
};
use serde::Deserialize;
use shorepath_types::Micros;
use std::collections::HashMap;

/// Drain grace if the settings object has none, in microseconds.
const DEFAULT_DRAIN_GRACE: Micros = 500_000;
/// Connect timeout if the settings object has none, in microseconds.
const DEFAULT_CONNECT_TIMEOUT: Micros = 1_000_000;
/// Idle timeout of connections if the settings object has none, in microseconds.
const DEFAULT_IDLE_TIMEOUT: Micros = 1_000_000;

/// The settings object as it is written; `rename` attributes hold the names of its fields. Missing fields
/// count as zero, unknown or not allowed.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct SettingsObject {
    allowed: Allowed,
    classes: Vec<Class>,
    costs: Costs,
    discovery: String,
    family_info: FamilyInfo,
    #[serde(rename = "granularity_ms")]
    tick_ms: f64,
    kinds: Vec<String>,
    #[serde(rename = "over_share_worth")]
    over_share_fraction: f64,
    #[serde(rename = "projects")]
    tenants: Vec<Tenant>,
    rank: Option<u32>,
    #[serde(rename = "replicas_of_me")]
    schedulers: u32,
    report: Reports,
    rules: Rules,
    #[serde(rename = "value_by")]
    weight_unit: String,
    weights: String,
    zone: String,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct Allowed {
    cancel: bool,
    #[serde(rename = "conn_idle_ms")]
    idle_timeout_ms: f64,
    connect_timeout_ms: f64,
    max_retry_after_ms: f64,
    probing: bool,
    retry_after: bool,
    #[serde(rename = "second_copies")]
    concurrent_attempts: bool,
    #[serde(rename = "try_limit")]
    max_attempts: u32,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct Class {
    name: String,
    #[serde(rename = "aim_stretch")]
    work_factor: Option<f64>,
    deadline_ms: f64,
    dedup_window_ms: f64,
    #[serde(rename = "group")]
    dedup_scope: String,
    #[serde(rename = "late_worth")]
    late_fraction: f64,
    #[serde(rename = "semantics")]
    idempotency: String,
    #[serde(rename = "target_ms")]
    latency_objective_ms: f64,
    #[serde(rename = "worth")]
    priority_weight: f64,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct Costs {
    cross_zone: f64,
    probe: f64,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct FamilyInfo {
    #[serde(rename = "class_kind")]
    class_kinds: Vec<i64>,
    #[serde(rename = "class_stretch")]
    class_work_factors: Vec<f64>,
    #[serde(rename = "tells_start")]
    reports_starts: bool,
    report_x0: String,
}

/// The content of load reports and how they are obtained.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct Reports {
    fields: Vec<String>,
    how: String,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default, rename = "Project")]
struct Tenant {
    name: String,
    #[serde(rename = "portion")]
    share: f64,
    quota_rps: f64,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct Rules {
    drain_grace_ms: f64,
    #[serde(rename = "cold_share")]
    slow_start_min_share: f64,
    #[serde(rename = "cold_ms")]
    slow_start_ms: f64,
    #[serde(rename = "tip_multiple")]
    overload_multiple: f64,
    #[serde(rename = "fall_ms")]
    overload_window_ms: f64,
    #[serde(rename = "shed_after_start")]
    overloaded_may_have_run: bool,
    #[serde(rename = "min_extra")]
    min_retries: Option<f64>,
    #[serde(rename = "extra_share")]
    retry_ratio: Option<f64>,
    #[serde(rename = "ratio_span_ms")]
    retry_window_ms: f64,
    #[serde(rename = "soft_removal")]
    only_draining_excludes: bool,
}

/// Why a settings object can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The object defines no classes.
    #[error("names no classes")]
    NoClasses,
    /// A class has no name, or its deadline is not a finite number above 0.
    #[error("has a class without a name or a deadline over 0")]
    UnusableClass,
    /// Two classes have the same name.
    #[error("names a class twice")]
    DuplicateClass,
    /// The limit of attempts is 0.
    #[error("allows no attempts: 'allowed.try_limit' must be at least 1")]
    NoAttempts,
}

/// Converts milliseconds to the scheduler's unit of time, rounded to the nearest microsecond.
pub fn micros_from_ms(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

impl SettingsObject {
    /// Returns the number of nodes, including this one; 1 if the settings object has no number.
    pub fn schedulers(&self) -> u32 {
        self.schedulers.max(1)
    }

    /// Returns how many nodes send their polls to the same discovery service, including this one. Where
    /// discovery pushes its lists to an agent beside each node, polling that agent costs nothing, so this is
    /// 1.
    pub fn polling_nodes(&self) -> u32 {
        if self.discovery == "on_request" {
            self.schedulers()
        } else {
            1
        }
    }

    /// Builds a load report from a lookup of the reported values by name.
    pub fn load_report(&self, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
        let free_slots = (self.family_info.report_x0 == "free slots").then(|| value("x0")).flatten();
        LoadReport { free_slots, in_flight: value("concurrent") }
    }

    /// Builds a load report from a row of values in the order of the settings object's report fields.
    pub fn load_report_from_row(&self, row: &[f64]) -> LoadReport {
        let position = |name: &str| self.report.fields.iter().position(|field| field == name);
        self.load_report(|name| row.get(position(name)?).copied())
    }

    /// Returns the settings for a new scheduler, and the names of the ids in them.
    pub fn to_settings(&self) -> (Settings, Catalog) {
        let mut catalog = Catalog {
            kinds: NameTable::from_names(self.kinds.iter()),
            classes: NameTable::from_names(self.classes.iter().map(|c| &c.name)),
            tenants: NameTable::from_names(self.tenants.iter().map(|tenant| &tenant.name)),
            ..Catalog::default()
        };
        (self.settings(&mut catalog), catalog)
    }

    /// Returns the replacement for the settings `old`, and updates the catalog. Ids keep their meaning: a
    /// class whose rules changed gets an id that is no longer used, or a new one. The catalog no longer
    /// finds classes and tenants that the object leaves out by their names.
    pub fn reconfigure(
        &self,
        catalog: &mut Catalog,
        old: &Settings,
        is_used: impl Fn(ClassId) -> bool,
    ) -> Reconfiguration {
        let mut settings = self.settings(catalog);
        let classes = std::mem::replace(&mut settings.classes, old.classes.clone());
        let named: Vec<_> = self.classes.iter().map(|c| c.name.as_str()).zip(classes).collect();
        let mut numbers = unchanged_classes(&named, &catalog.classes, old);
        let mut reassigned = Vec::new();
        for (name, class) in named {
            if numbers.contains_key(name) {
                continue;
            }
            let is_free = |k: &usize| !numbers.values().any(|n| *n as usize == *k) && !is_used(ClassId(*k));
            let before = catalog.classes.get(name).map(|n| n as usize);
            let is_inherited =
                |k: &usize| self.classes.iter().any(|c| catalog.classes.get(&c.name) == Some(*k as u32));
            // Prefers the class's own id, and skips ids whose learned values another class may still
            // inherit.
            let number = before
                .filter(is_free)
                .or_else(|| (0..settings.classes.len()).find(|k| is_free(k) && !is_inherited(k)))
                .unwrap_or(settings.classes.len());
            settings.classes.resize_with(settings.classes.len().max(number + 1), ClassSettings::default);
            settings.classes[number] = class;
            let inherits_from = before.map(ClassId);
            reassigned.push(ReassignedClass { class: ClassId(number), inherits_from });
            numbers.insert(name.to_string(), number as u32);
        }
        rename_classes(&mut catalog.classes, numbers);
        settings.tenants = self.keep_tenants(catalog, old, std::mem::take(&mut settings.tenants));
        Reconfiguration { settings, reassigned }
    }

    /// Returns the tenants under their existing ids; those that the object leaves out get a share of 0.
    fn keep_tenants(
        &self,
        catalog: &mut Catalog,
        old: &Settings,
        tenants: Vec<TenantSettings>,
    ) -> Vec<TenantSettings> {
        let without_share = |_| TenantSettings { share: 0.0, quota_per_second: 0.0 };
        let mut kept: Vec<TenantSettings> = old.tenants.iter().map(without_share).collect();
        for (named, tenant) in self.tenants.iter().zip(tenants) {
            let number = catalog.tenants.intern(&named.name) as usize;
            kept.resize(kept.len().max(number + 1), tenant.clone());
            kept[number] = tenant;
        }
        catalog.tenants.numbers.retain(|name, _| self.tenants.iter().any(|tenant| tenant.name == *name));
        kept
    }

    /// Checks whether a node can run with this settings object.
    ///
    /// # Errors
    /// The first problem found.
    pub fn validate(&self) -> Result<(), SettingsError> {
        let has_deadline = |c: &Class| c.deadline_ms > 0.0 && c.deadline_ms.is_finite();
        let is_usable = |c: &Class| has_deadline(c) && !c.name.is_empty();
        let is_duplicate = |c: &Class| self.classes.iter().filter(|d| d.name == c.name).count() > 1;
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if !self.classes.iter().all(is_usable) {
            return Err(SettingsError::UnusableClass);
        }
        if self.classes.iter().any(is_duplicate) {
            return Err(SettingsError::DuplicateClass);
        }
        if self.allowed.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        Ok(())
    }

    /// Returns the longest deadline of any class.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|c| micros_from_ms(c.deadline_ms)).max().unwrap_or(0)
    }

    /// Returns the time after a drain is announced by which an endpoint must no longer get new jobs; half a
    /// second if the settings object has none.
    pub fn drain_grace(&self) -> Micros {
        positive_or(micros_from_ms(self.rules.drain_grace_ms), DEFAULT_DRAIN_GRACE)
    }

    /// Returns the time limit for opening a connection; one second if the settings object has none.
    pub fn connect_timeout(&self) -> Micros {
        positive_or(micros_from_ms(self.allowed.connect_timeout_ms), DEFAULT_CONNECT_TIMEOUT)
    }

    /// Returns how long an endpoint keeps an idle connection open; one second if the settings object has
    /// none.
    pub fn idle_timeout(&self) -> Micros {
        positive_or(micros_from_ms(self.allowed.idle_timeout_ms), DEFAULT_IDLE_TIMEOUT)
    }

    /// Returns whether two attempts of one request may be in flight together.
    pub fn allows_concurrent_attempts(&self) -> bool {
        self.allowed.concurrent_attempts
    }

    fn settings(&self, catalog: &mut Catalog) -> Settings {
        let kinds: Vec<KindId> = self.kinds.iter().map(|k| KindId(catalog.kinds.intern(k))).collect();
        let classes = self.classes.iter().enumerate().map(|(i, class)| self.class_settings(i, class, &kinds));
        let tenants = self.tenants.iter();
        let tenants =
            tenants.map(|tenant| TenantSettings { share: tenant.share, quota_per_second: tenant.quota_rps });
        Settings {
            schedulers: self.schedulers(),
            rank: self.rank,
            processes: 1,
            zone: ZoneId(catalog.zones.intern(&self.zone)),
            tick: micros_from_ms(self.tick_ms).max(1),
            classes: classes.collect(),
            tenants: tenants.collect(),
            weight_by_work: self.weight_unit == "work",
            over_share_fraction: self.over_share_fraction,
            must_subscribe: self.discovery == "on_request",
            reports_starts: self.family_info.reports_starts,
            can_cancel: self.allowed.cancel,
            capacity_includes_speed: matches!(self.weights.as_str(), "nominal" | "live"),
            sends_retry_after: self.allowed.retry_after,
            max_retry_after: micros_from_ms(self.allowed.max_retry_after_ms),
            max_attempts: self.allowed.max_attempts,
            drain_grace: micros_from_ms(self.rules.drain_grace_ms),
            slow_start_min_share: self.rules.slow_start_min_share,
            slow_start_duration: micros_from_ms(self.rules.slow_start_ms),
            overload_multiple: self.rules.overload_multiple,
            overload_window: micros_from_ms(self.rules.overload_window_ms),
            overloaded_may_have_run: self.rules.overloaded_may_have_run,
            cross_zone_cost: self.costs.cross_zone,
            probing: self.allows_probes(),
            probe_cost: self.costs.probe,
            retry_budget: self.rules.retry_budget(),
            only_draining_excludes: self.rules.only_draining_excludes,
        }
    }

    fn class_settings(&self, index: usize, class: &Class, kinds: &[KindId]) -> ClassSettings {
        let info = &self.family_info;
        let kind = info.class_kinds.get(index).and_then(|k| kinds.get(usize::try_from(*k).ok()?));
        ClassSettings {
            latency_objective: micros_from_ms(class.latency_objective_ms),
            work_factor: class.work_factor.or(info.class_work_factors.get(index).copied()).unwrap_or(0.0),
            deadline: micros_from_ms(class.deadline_ms),
            late_fraction: class.late_fraction,
            priority_weight: class.priority_weight,
            idempotency: class.idempotency(),
            kind: kind.copied(),
        }
    }

    fn allows_probes(&self) -> bool {
        self.allowed.probing
            && ["probe", "answers"].contains(&self.report.how.as_str())
            && self.report.fields.iter().any(|field| field == "concurrent")
    }
}

impl Class {
    fn idempotency(&self) -> Idempotency {
        match self.idempotency.as_str() {
            "free" => Idempotency::Idempotent,
            "guarded" => Idempotency::Keyed {
                scope: match self.dedup_scope.as_str() {
                    "all" => DedupScope::All,
                    "zone" => DedupScope::Zone,
                    _ => DedupScope::Cell,
                },
                window: micros_from_ms(self.dedup_window_ms),
            },
            _ => Idempotency::NonIdempotent,
        }
    }
}

impl Rules {
    /// Returns a retry budget if a window and at least one of the limits are set. A missing or negative
    /// limit counts as 0.
    fn retry_budget(&self) -> Option<RetryBudget> {
        let is_given = self.min_retries.is_some() || self.retry_ratio.is_some();
        (is_given && self.retry_window_ms > 0.0).then(|| RetryBudget {
            window: micros_from_ms(self.retry_window_ms),
            min_retries: self.min_retries.unwrap_or(0.0).max(0.0),
            ratio: self.retry_ratio.unwrap_or(0.0).max(0.0),
        })
    }
}

/// Returns the ids of classes whose rules are unchanged, by name.
fn unchanged_classes(
    named: &[(&str, ClassSettings)],
    names: &NameTable,
    old: &Settings,
) -> HashMap<String, u32> {
    let unchanged = named.iter().filter_map(|(name, class)| {
        let number = names.get(name).filter(|n| old.classes.get(*n as usize) == Some(class))?;
        Some((name.to_string(), number))
    });
    unchanged.collect()
}

/// Replaces the catalog's ids of classes. A reused id gets the name of its new class.
fn rename_classes(names: &mut NameTable, numbers: HashMap<String, u32>) {
    let len = numbers.values().max().map_or(0, |n| *n as usize + 1);
    names.names.resize(names.names.len().max(len), String::new());
    for (name, number) in &numbers {
        names.names[*number as usize].clone_from(name);
    }
    names.numbers = numbers;
}

fn positive_or(value: Micros, default: Micros) -> Micros {
    if value > 0 {
        value
    } else {
        default
    }
}
