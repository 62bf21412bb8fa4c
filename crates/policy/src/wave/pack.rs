//! Selects the transfers of one link that save the most within its notice (0/1 knapsack).

/// Steps into which the notice is divided. A transfer takes whole steps, so that at most one step
/// per transfer is lost; a plan for 32 jobs costs 32 times as many additions.
const STEPS: usize = 256;

/// A candidate transfer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Item {
    /// Duration in milliseconds.
    pub duration_ms: u64,
    /// Value of the transfer, usually the tokens that it saves.
    pub value: u64,
}

/// Returns for each item whether it belongs to the best selection for a notice in milliseconds.
pub(super) fn select(items: &[Item], notice: u64) -> Vec<bool> {
    let step = notice.div_ceil(STEPS as u64).max(1);
    let capacity = (notice / step) as usize;
    let steps = |item: &Item| item.duration_ms.div_ceil(step) as usize;
    let mut saved = vec![0_u64; capacity + 1];
    let mut taken = vec![false; items.len() * (capacity + 1)];
    for (index, item) in items.iter().enumerate() {
        for used in (steps(item)..=capacity).rev() {
            let with = saved[used - steps(item)] + item.value;
            if with > saved[used] {
                saved[used] = with;
                taken[index * (capacity + 1) + used] = true;
            }
        }
    }
    let mut used = capacity;
    let mut selected = vec![false; items.len()];
    for (index, item) in items.iter().enumerate().rev() {
        if taken[index * (capacity + 1) + used] {
            selected[index] = true;
            used -= steps(item);
        }
    }
    selected
}
