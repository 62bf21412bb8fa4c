//! Which transfers of one link save the most within its notice.

/// Steps into which the notice is cut; a transfer takes whole ones, so that at most one step a
/// transfer is lost, and a plan for 32 jobs costs 32 times as many additions.
const STEPS: usize = 256;

/// A transfer that could be made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Item {
    /// Milliseconds that it takes.
    pub takes: u64,
    /// What it saves.
    pub saves: u64,
}

/// For each item whether it is among the best choice for a notice of that many milliseconds.
pub(super) fn best(items: &[Item], notice: u64) -> Vec<bool> {
    let step = notice.div_ceil(STEPS as u64).max(1);
    let room = (notice / step) as usize;
    let steps = |item: &Item| item.takes.div_ceil(step) as usize;
    let mut saved = vec![0_u64; room + 1];
    let mut taken = vec![false; items.len() * (room + 1)];
    for (index, item) in items.iter().enumerate() {
        for used in (steps(item)..=room).rev() {
            let with = saved[used - steps(item)] + item.saves;
            if with > saved[used] {
                saved[used] = with;
                taken[index * (room + 1) + used] = true;
            }
        }
    }
    let mut used = room;
    let mut chosen = vec![false; items.len()];
    for (index, item) in items.iter().enumerate().rev() {
        if taken[index * (room + 1) + used] {
            chosen[index] = true;
            used -= steps(item);
        }
    }
    chosen
}
