//! Shrinks a list that reproduces a failure, by delta debugging ("Simplifying and isolating failure-inducing input", Zeller
//! and Hildebrandt, section 3).

/// Returns the shortest part of `list` found within `trials` calls of `fails` that still fails. The list itself is taken to
/// fail.
pub fn shrink<T: Clone>(list: &[T], trials: u32, mut fails: impl FnMut(&[T]) -> bool) -> Vec<T> {
    let (mut shortest, mut part_count, mut trials_left) = (list.to_vec(), 2, trials);
    while !shortest.is_empty() && trials_left > 0 {
        let size = shortest.len().div_ceil(part_count);
        let mut shorter = None;
        for from in (0..shortest.len()).step_by(size) {
            if trials_left == 0 {
                break;
            }
            trials_left -= 1;
            let to = (from + size).min(shortest.len());
            let rest: Vec<T> = [&shortest[..from], &shortest[to..]].concat();
            if fails(&rest) {
                shorter = Some(rest);
                break;
            }
        }
        match shorter {
            Some(rest) => (shortest, part_count) = (rest, part_count.saturating_sub(1).max(2)),
            None if size == 1 => break,
            None => part_count = (part_count * 2).min(shortest.len()),
        }
    }
    shortest
}
