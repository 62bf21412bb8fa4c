//! Division of the replicas' slots among more entries than a replica has slots.

use clock::Time;

use crate::division::Division;
use crate::division::Site;
use crate::pool;
use crate::replica;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Applies a new list of entries.
    pub(super) fn set_division_members(&mut self, own: u64, mut members: Vec<u64>) {
        members.sort_unstable();
        members.dedup();
        if own == self.own_identity && members == self.members {
            return;
        }
        self.own_identity = own;
        self.members = members;
        for pool in self.pools.values_mut() {
            pool.division_stale = true;
        }
        self.mark_all_pools();
    }

    /// Divides the pool's slots anew if members or replicas changed.
    pub(super) fn refresh_division(&mut self, now: Time, key: pool::Key) {
        let Some(pool) = self.pools.get_mut(&key) else {
            return;
        };
        if !std::mem::take(&mut pool.division_stale) {
            return;
        }
        let handover = pool
            .service
            .mean_duration()
            .scaled(self.settings.division.handover_factor);
        let enabled = self.settings.slots.enabled && self.settings.division.enabled;
        let members = self.members.len();
        let is_divided = |slots: u32| enabled && members > slots as usize;
        let with_identity = |key: &replica::Key| {
            let replica = self.replicas.get(key)?;
            let site = Site {
                replica: replica.identity,
                slots: replica.spec.slots,
            };
            Some((*key, site))
        };
        let replicas: Vec<(replica::Key, Site)> =
            pool.members.iter().filter_map(with_identity).collect();
        let sites: Vec<Site> = replicas
            .iter()
            .map(|(_, site)| *site)
            .filter(|site| is_divided(site.slots))
            .collect();
        let division = (!sites.is_empty()).then(|| Division::new(&sites, &self.members, 1));
        let own = self.own_identity;
        for (key, site) in replicas {
            let division = division.as_ref().filter(|_| is_divided(site.slots));
            let owned = division.map(|division| division.slots_of(site.replica, own));
            if let Some(replica) = self.replicas.get_mut(&key) {
                replica.share.set_owned(now, owned, handover);
                replica.load.set_divided(owned.is_some());
            }
        }
    }
}
