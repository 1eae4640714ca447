//! The settings object that an instance is given: one parser for the simulator's wire and the node.

use crate::api::*;
use serde::Deserialize;
use siphasher::sip::SipHasher13;
use std::collections::HashMap;
use std::hash::Hasher;

/// The settings object as it is written; what is missing counts as nothing allowed or known.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
pub struct Setup {
    allowed: Allowed,
    classes: Vec<Class>,
    costs: Costs,
    discovery: String,
    family_info: FamilyInfo,
    granularity_ms: f64,
    kinds: Vec<String>,
    over_share_worth: f64,
    projects: Vec<Project>,
    rank: Option<u32>,
    replicas_of_me: u32,
    report: Reports,
    rules: Rules,
    value_by: String,
    weights: String,
    zone: String,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct Allowed {
    cancel: bool,
    conn_idle_ms: f64,
    connect_timeout_ms: f64,
    max_retry_after_ms: f64,
    probing: bool,
    retry_after: bool,
    try_limit: u32,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct Class {
    name: String,
    aim_stretch: Option<f64>,
    deadline_ms: f64,
    dedup_window_ms: f64,
    group: String,
    late_worth: f64,
    semantics: String,
    target_ms: f64,
    worth: f64,
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
    class_kind: Vec<i64>,
    class_stretch: Vec<f64>,
    tells_start: bool,
    report_x0: String,
}

/// Load reports.
#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct Reports {
    fields: Vec<String>,
    how: String,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct Project {
    name: String,
    portion: f64,
    quota_rps: f64,
}

#[derive(Clone, Debug, Deserialize, Default, PartialEq)]
#[serde(default)]
struct Rules {
    drain_grace_ms: f64,
    cold_share: f64,
    cold_ms: f64,
    tip_multiple: f64,
    fall_ms: f64,
    shed_after_start: bool,
    min_extra: Option<f64>,
    extra_share: Option<f64>,
    ratio_span_ms: f64,
    soft_removal: bool,
}

/// Names to numbers, in order of first sight.
#[derive(Debug, Default)]
pub struct Names {
    list: Vec<String>,
    index: HashMap<String, u32>,
}

impl Names {
    /// Those names, numbered in their order.
    fn of<'a>(names: impl Iterator<Item = &'a String>) -> Self {
        let mut all = Names::default();
        names.for_each(|n| {
            all.number(n);
        });
        all
    }
    /// The name of that number.
    pub fn name(&self, number: u32) -> Option<&str> {
        self.list.get(number as usize).map(String::as_str)
    }
    /// The number of that name, if it has one.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.index.get(name).copied()
    }
    /// The number of that name; it is given the next one at first sight.
    pub fn number(&mut self, name: &str) -> u32 {
        if let Some(&n) = self.index.get(name) {
            return n;
        }
        let n = self.list.len() as u32;
        self.list.push(name.to_string());
        self.index.insert(name.to_string(), n);
        n
    }
}

/// Milliseconds to the module's time.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// The same number for the same text in every process.
pub fn mark(text: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// With a span and either figure the ration binds; what is missing or negative counts as 0.
fn ration(rules: &Rules) -> Option<Ration> {
    let stated = rules.min_extra.is_some() || rules.extra_share.is_some();
    (stated && rules.ratio_span_ms > 0.0).then(|| Ration {
        span: micros(rules.ratio_span_ms),
        free: rules.min_extra.unwrap_or(0.0).max(0.0),
        share: rules.extra_share.unwrap_or(0.0).max(0.0),
    })
}

/// The numbers that the module knows names by.
#[derive(Debug, Default)]
pub struct Catalogue {
    /// Workers.
    pub workers: Names,
    /// Zones.
    pub zones: Names,
    /// Kinds of workers.
    pub kinds: Names,
    /// Classes, numbered as [`ClassId`].
    pub classes: Names,
    /// Tenants, numbered as [`TenantId`].
    pub tenants: Names,
}

impl Setup {
    /// How many nodes there are, this one counted in; 1 where the settings don't tell.
    pub fn instances(&self) -> u32 {
        self.replicas_of_me.max(1)
    }
    /// A report's meaning, from its values by their names.
    pub fn report(&self, value: impl Fn(&str) -> Option<f64>) -> Report {
        let free = (self.family_info.report_x0 == "free slots").then(|| value("x0")).flatten();
        Report { free, held: value("concurrent") }
    }
    /// How many nodes load discovery with their calls, this one counted in: 1 where it pushes its lists to
    /// an agent beside each node, which answers at no cost and has to be heard at once.
    pub fn askers(&self) -> u32 {
        if self.discovery == "on_request" {
            self.instances()
        } else {
            1
        }
    }
    /// The meaning of a report that is a row of the values that the settings name.
    pub fn report_row(&self, row: &[f64]) -> Report {
        let place = |name: &str| self.report.fields.iter().position(|f| f == name);
        self.report(|name| row.get(place(name)?).copied())
    }
    /// What the module is started with, and the names behind its numbers.
    pub fn read(&self) -> (Settings, Catalogue) {
        let mut names = Catalogue {
            kinds: Names::of(self.kinds.iter()),
            classes: Names::of(self.classes.iter().map(|c| &c.name)),
            tenants: Names::of(self.projects.iter().map(|p| &p.name)),
            ..Catalogue::default()
        };
        (settings(self, &mut names), names)
    }
    /// What takes the place of the settings in force, with the names behind its numbers. Numbers go on
    /// meaning what they meant: a class with other rules gets one that nothing uses any more, or a new
    /// one. Classes and tenants that are left out are no longer found by their names.
    pub fn renew(&self, names: &mut Catalogue, old: &Settings, uses: impl Fn(ClassId) -> bool) -> Retuned {
        let mut new = settings(self, names);
        let classes = std::mem::replace(&mut new.classes, old.classes.clone());
        let stays = |name: &String, class: &ClassSettings| {
            names.classes.get(name).filter(|&n| old.classes.get(n as usize) == Some(class))
        };
        let all: Vec<_> = self.classes.iter().map(|c| &c.name).zip(classes).collect();
        let mut index: HashMap<String, u32> =
            all.iter().filter_map(|(name, class)| Some(((*name).clone(), stays(name, class)?))).collect();
        let mut fresh = Vec::new();
        for (name, class) in all {
            if index.contains_key(name) {
                continue;
            }
            let free = |k: &usize| !index.values().any(|n| *n as usize == *k) && !uses(ClassId(*k));
            let from = names.classes.get(name).map(|n| n as usize);
            let followed =
                |k: &usize| self.classes.iter().any(|c| names.classes.get(&c.name) == Some(*k as u32));
            // Its own number first, and none that another class's learning is still to be taken from.
            let number =
                from.filter(free).or_else(|| (0..new.classes.len()).find(|k| free(k) && !followed(k)));
            let number = number.unwrap_or(new.classes.len());
            new.classes.resize_with(new.classes.len().max(number + 1), ClassSettings::default);
            new.classes[number] = class;
            fresh.push((ClassId(number), from.map(ClassId)));
            index.insert(name.clone(), number as u32);
        }
        // A number that is used again has another name.
        let last = index.values().max().map_or(0, |n| *n as usize + 1);
        names.classes.list.resize(names.classes.list.len().max(last), String::new());
        index.iter().for_each(|(name, number)| names.classes.list[*number as usize].clone_from(name));
        names.classes.index = index;
        let tenants = std::mem::take(&mut new.tenants);
        new.tenants = old.tenants.iter().map(|_| TenantSettings { share: 0.0, quota_per_s: 0.0 }).collect();
        for (project, tenant) in self.projects.iter().zip(tenants) {
            let number = names.tenants.number(&project.name) as usize;
            new.tenants.resize(new.tenants.len().max(number + 1), tenant.clone());
            new.tenants[number] = tenant;
        }
        names.tenants.index.retain(|name, _| self.projects.iter().any(|p| p.name == *name));
        Retuned { settings: new, fresh }
    }
    /// What is wrong with these settings for a node to serve by, if anything is.
    pub fn fault(&self) -> Option<&'static str> {
        let bad = |c: &Class| !(c.deadline_ms > 0.0 && c.deadline_ms.is_finite()) || c.name.is_empty();
        let twice = |c: &Class| self.classes.iter().filter(|d| d.name == c.name).count() > 1;
        match self {
            _ if self.classes.is_empty() => Some("names no classes"),
            _ if self.classes.iter().any(bad) => Some("has a class without a name or a deadline over 0"),
            _ if self.classes.iter().any(twice) => Some("names a class twice"),
            _ if self.allowed.try_limit == 0 => Some("allows no attempts"),
            _ => None,
        }
    }
    /// The longest time that a class's requests are waited for.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.iter().map(|c| micros(c.deadline_ms)).max().unwrap_or(0)
    }
    /// Within this nothing new may go to a worker any more that was told to drain; half a second where the settings don't
    /// say.
    pub fn drain_grace(&self) -> Micros {
        or(micros(self.rules.drain_grace_ms), 500_000)
    }
    /// How long a connection may take to come up; a second where the settings don't say.
    pub fn connect_timeout(&self) -> Micros {
        or(micros(self.allowed.connect_timeout_ms), 1_000_000)
    }
    /// Workers close a connection that has been idle for this long; a second where the settings
    /// don't say.
    pub fn conn_idle(&self) -> Micros {
        or(micros(self.allowed.conn_idle_ms), 1_000_000)
    }
}

fn or(stated: Micros, usual: Micros) -> Micros {
    if stated > 0 {
        stated
    } else {
        usual
    }
}

fn settings(setup: &Setup, names: &mut Catalogue) -> Settings {
    let f = &setup.family_info;
    let kinds: Vec<KindId> = setup.kinds.iter().map(|k| KindId(names.kinds.number(k))).collect();
    let class = |(i, c): (usize, &Class)| ClassSettings {
        aim: micros(c.target_ms),
        stretch: c.aim_stretch.or(f.class_stretch.get(i).copied()).unwrap_or(0.0),
        deadline: micros(c.deadline_ms),
        late_worth: c.late_worth,
        worth: c.worth,
        effect: match c.semantics.as_str() {
            "free" => Effect::Safe,
            "guarded" => Effect::Keyed {
                scope: match c.group.as_str() {
                    "all" => Scope::All,
                    "zone" => Scope::Zone,
                    _ => Scope::Cell,
                },
                memory: micros(c.dedup_window_ms),
            },
            _ => Effect::Unsafe,
        },
        kind: f.class_kind.get(i).and_then(|&k| kinds.get(usize::try_from(k).ok()?)).copied(),
    };
    Settings {
        instances: setup.instances(),
        rank: setup.rank,
        parts: 1,
        zone: ZoneId(names.zones.number(&setup.zone)),
        tick: micros(setup.granularity_ms).max(1),
        classes: setup.classes.iter().enumerate().map(class).collect(),
        tenants: setup
            .projects
            .iter()
            .map(|p| TenantSettings { share: p.portion, quota_per_s: p.quota_rps })
            .collect(),
        by_work: setup.value_by == "work",
        over_share_worth: setup.over_share_worth,
        must_subscribe: setup.discovery == "on_request",
        tells_start: f.tells_start,
        cancel: setup.allowed.cancel,
        scale_is_capacity: matches!(setup.weights.as_str(), "nominal" | "live"),
        retry_after: setup.allowed.retry_after,
        max_retry_after: micros(setup.allowed.max_retry_after_ms),
        max_attempts: setup.allowed.try_limit,
        drain_grace: micros(setup.rules.drain_grace_ms),
        cold_share: setup.rules.cold_share,
        cold_time: micros(setup.rules.cold_ms),
        fall_multiple: setup.rules.tip_multiple,
        fall_time: micros(setup.rules.fall_ms),
        full_may_have_run: setup.rules.shed_after_start,
        cross_zone_price: setup.costs.cross_zone,
        probes: setup.allowed.probing
            && ["probe", "answers"].contains(&setup.report.how.as_str())
            && setup.report.fields.iter().any(|f| f == "concurrent"),
        probe_price: setup.costs.probe,
        ration: ration(&setup.rules),
        only_draining_binds: setup.rules.soft_removal,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn setup(classes: &[(&str, &str)]) -> Setup {
        let class = |(name, semantics): &(&str, &str)| Class {
            name: name.to_string(),
            semantics: semantics.to_string(),
            deadline_ms: 5000.0,
            ..Class::default()
        };
        Setup { classes: classes.iter().map(class).collect(), ..Setup::default() }
    }

    /// Without their number a node takes itself for the only one, which probes nobody and calls at once.
    #[test]
    fn settings_without_the_number_of_nodes_stand_for_one() {
        let one = Setup { discovery: "on_request".to_string(), ..Setup::default() };
        assert_eq!((one.read().0.instances, one.askers()), (1, 1));
        let many = Setup { replicas_of_me: 100, ..one };
        assert_eq!((many.read().0.instances, many.askers()), (100, 100));
        let pushed = Setup { discovery: "pushed".to_string(), ..many };
        assert_eq!((pushed.instances(), pushed.askers()), (100, 1));
    }

    /// A report's row is read by the fields that the settings name; what is missing is not known.
    #[test]
    fn reports_are_read_by_the_names_of_their_values() {
        let report =
            Reports { fields: vec!["x0".into(), "err_ps".into(), "concurrent".into()], how: "probe".into() };
        let family_info = FamilyInfo { report_x0: "free slots".into(), ..FamilyInfo::default() };
        let mut setup = Setup { report, family_info, ..Setup::default() };
        assert_eq!(setup.report_row(&[1.0, 0.0, 3.0]), Report { free: Some(1.0), held: Some(3.0) });
        assert_eq!(setup.report_row(&[1.0]), Report { free: Some(1.0), held: None });
        setup.family_info.report_x0 = "free memory".into();
        assert_eq!(setup.report_row(&[1.0, 0.0, 3.0]).free, None);
    }

    /// A class keeps its number while its rules stay. With other rules it gets a fresh one while jobs
    /// hold the old; numbers that nothing holds are used again, or they would grow with each reload.
    #[test]
    fn numbers_of_classes_go_on_meaning_what_open_jobs_came_under() {
        let (mut set, mut names) = setup(&[("a", "free"), ("b", "free")]).read();
        let held = |class: ClassId| class == ClassId(0);
        let next = setup(&[("b", "free"), ("a", "single_shot"), ("c", "free")]);
        let renewed = next.renew(&mut names, &set, held);
        let number = |names: &Catalogue, name: &str| names.classes.get(name);
        assert_eq!(number(&names, "b"), Some(1));
        assert_eq!((number(&names, "a"), number(&names, "c")), (Some(2), Some(3)));
        assert_eq!(renewed.fresh, [(ClassId(2), Some(ClassId(0))), (ClassId(3), None)]);
        let effects: Vec<_> = renewed.settings.classes.iter().map(|c| c.effect).collect();
        assert_eq!(effects, [Effect::Safe, Effect::Safe, Effect::Unsafe, Effect::Safe]);
        set = renewed.settings;
        for k in 0..100 {
            let semantics = if k % 2 == 0 { "free" } else { "single_shot" };
            set = setup(&[("a", semantics), ("d", semantics)]).renew(&mut names, &set, held).settings;
            assert_eq!((number(&names, "b"), number(&names, "c")), (None, None), "dropped");
            let of = |name: &str| set.classes[number(&names, name).unwrap() as usize].effect;
            assert_eq!((of("a"), of("d")), (of("d"), of("a")));
            assert_eq!((of("a") == Effect::Safe, set.classes[0].effect), (k % 2 == 0, Effect::Safe));
        }
        assert_eq!(set.classes.len(), 4);
    }
}
