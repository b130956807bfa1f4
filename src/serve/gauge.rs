//! Gauges, set when the metrics page is requested.

use metrics::gauge;

use super::context::Context;
use super::held::Kind;
use super::jobs::Jobs;

/// Sets all gauges to the current values.
pub fn measure(context: &Context, jobs: &Jobs) {
    let now = context.now();
    let view = context.view.borrow();
    gauge!("serve_store_age_seconds").set(view.confirmed_at.until(now).as_secs_f64());
    let version = view.configuration.as_ref().map_or(0, |current| current.version);
    gauge!("serve_configuration_version").set(version as f64);
    gauge!("serve_members").set(view.members.len() as f64);
    gauge!("serve_jobs", "of" => "fleet").set(view.pending.len() as f64);
    drop(view);
    gauge!("serve_parts_held_off").set(context.crashes.borrow().parts.held().count() as f64);
    gauge!("serve_cut_off").set(f64::from(u8::from(context.paths.is_cut())));
    for kind in Kind::ALL {
        gauge!("serve_held_bytes", "of" => kind.as_str()).set(context.held.sum(kind) as f64);
    }
    gauge!("serve_copied_bytes").set(context.held.copied() as f64);
    gauge!("serve_pinned_bytes").set(jobs.cache.pages.pinned() as f64);
    let (mut usable, mut ejected, mut limited, mut online, mut batch) = (0, 0, 0, 0, 0);
    for (_, entry) in context.table.borrow().iter() {
        let counted = if entry.usable(now) { &mut usable } else { &mut ejected };
        *counted += 1;
        limited += i32::from(entry.limit_per_s.is_some());
        online += entry.own.online;
        batch += entry.own.batch;
    }
    gauge!("serve_upstreams", "state" => "usable").set(f64::from(usable));
    gauge!("serve_upstreams", "state" => "passed over").set(f64::from(ejected));
    gauge!("serve_upstreams", "state" => "limited").set(f64::from(limited));
    gauge!("serve_slots_taken", "use" => "online").set(f64::from(online));
    gauge!("serve_slots_taken", "use" => "batch").set(f64::from(batch));
    let (open, items_left) = jobs.open_counts();
    gauge!("serve_jobs", "of" => "this VM").set(open as f64);
    gauge!("serve_items_left").set(items_left as f64);
    for (cause, count) in jobs.waiting_counts() {
        gauge!("serve_items_waiting", "cause" => cause.as_str()).set(count as f64);
    }
}
