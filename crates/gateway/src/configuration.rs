//! Applies new versions of the configuration.

use std::rc::Rc;

use bytes::Bytes;
use clock::Time;
use line::Line;
use policy::account;
use policy::pool;
use policy::quota::Name;
use policy::rendezvous;
use smol_str::SmolStr;

use crate::catalog::Account;
use crate::catalog::Catalog;
use crate::effect::Effect;
use crate::event::Source;
use crate::gateway::Gateway;

impl Gateway {
    /// Applies a version if it is newer than the one in force.
    ///
    /// A slow read or a lagging peer delivers older versions, and callers must not be served by withdrawn
    /// rules.
    pub(crate) fn apply_configuration(
        &mut self,
        now: Time,
        catalog: Rc<Catalog>,
        document: Bytes,
        source: Source,
        effects: &mut Vec<Effect>,
    ) {
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version);
        if self.catalog.is_some() && catalog.version <= version {
            return;
        }
        let line = Line::info("configuration_applied")
            .with("version", catalog.version)
            .with("before", version)
            .with("accounts", catalog.accounts.len())
            .with("source", source_name(source));
        effects.push(Effect::Log(line));
        if let Some(before) = &self.catalog {
            let horizon = self.versions.return_horizon();
            self.route_shares
                .record_change(now, before, &catalog, horizon);
        }
        self.update_accounts(now, &catalog);
        for service in &catalog.services {
            self.pool_key(&service.name);
        }
        let engines = catalog
            .services
            .iter()
            .filter_map(|service| service.engine.as_ref());
        let speeds = engines.filter_map(|engine| engine.transfer_tokens_per_ms);
        self.scheduler.set_transfer_speed(speeds.reduce(f64::min));
        self.durations
            .retain(|known| catalog.routes().any(|route| route.name == *known));
        self.document = document;
        self.configured_since = now;
        self.catalog = Some(Rc::clone(&catalog));
        self.step_membership(now, member::event::Event::Applied(catalog.version), effects);
    }

    /// Returns the scheduler's key of a service.
    pub(crate) fn pool_key(&mut self, service: &SmolStr) -> pool::Key {
        let next_key = pool::Key(self.pools.len() as u32);
        *self.pools.entry(service.clone()).or_insert(next_key)
    }

    fn update_accounts(&mut self, now: Time, catalog: &Catalog) {
        let public = Account::default();
        for account in catalog.accounts.iter().chain([&public]) {
            let next_key = account::Key(self.accounts.len() as u32);
            let key = *self
                .accounts
                .entry(account.name.clone())
                .or_insert(next_key);
            self.scheduler.set_account(key, account_spec(account));
            let name = rendezvous::identity(&account.name);
            self.quotas
                .set_quota(now, name, account.rate, account.burst);
        }
        let names: Vec<Name> = catalog
            .accounts
            .iter()
            .map(|account| rendezvous::identity(&account.name))
            .collect();
        self.quotas.retain(&names);
    }
}

/// Returns an account's scheduling parameters, without its quota: quotas are enforced separately.
fn account_spec(account: &Account) -> account::Spec {
    account::Spec {
        name: account.name.clone(),
        weight: 1,
        priority: account.priority,
        tokens_per_second: 0,
        concurrent: 0,
    }
}

fn source_name(source: Source) -> SmolStr {
    match source {
        Source::Store => SmolStr::new_static("store"),
        Source::Peer(id) => smol_str::format_smolstr!("{id}"),
    }
}
