//! Versions of the configuration as they come in force.

use std::rc::Rc;

use bytes::Bytes;
use clock::Time;
use line::Line;
use policy::account;
use policy::pool;
use policy::quota::Name;
use policy::rendezvous;
use smol_str::SmolStr;

use crate::book::Account;
use crate::book::Book;
use crate::effect::Effect;
use crate::event::Source;
use crate::gateway::Gateway;

impl Gateway {
    /// Takes a version in, if it is newer than the one in force.
    ///
    /// Guards against going back: a read that was slow, or a peer that lags, brings an older version,
    /// and callers would be served by rules that were withdrawn.
    pub(crate) fn configured(
        &mut self,
        now: Time,
        book: Rc<Book>,
        document: Bytes,
        source: Source,
        effects: &mut Vec<Effect>,
    ) {
        let version = self.book.as_ref().map_or(0, |book| book.version);
        if self.book.is_some() && book.version <= version {
            return;
        }
        let line = Line::info("configuration_applied")
            .with("version", book.version)
            .with("before", version)
            .with("accounts", book.accounts.len())
            .with("source", source_name(source));
        effects.push(Effect::Log(line));
        self.take_accounts(now, &book);
        for service in &book.services {
            self.pool_key(&service.name);
        }
        let engines = book.services.iter().filter_map(|one| one.engine.as_ref());
        let speeds = engines.filter_map(|engine| engine.moved_per_milli);
        self.scheduler.set_transfers(speeds.reduce(f64::min));
        self.document = document;
        self.configured_since = now;
        self.book = Some(Rc::clone(&book));
        self.step_membership(now, member::event::Event::Applied(book.version), effects);
    }

    /// The scheduler's key of a service.
    pub(crate) fn pool_key(&mut self, service: &SmolStr) -> pool::Key {
        let next = pool::Key(self.pools.len() as u32);
        *self.pools.entry(service.clone()).or_insert(next)
    }

    fn take_accounts(&mut self, now: Time, book: &Book) {
        let public = Account::default();
        for account in book.accounts.iter().chain([&public]) {
            let next = account::Key(self.accounts.len() as u32);
            let key = *self.accounts.entry(account.name.clone()).or_insert(next);
            self.scheduler.set_account(key, spec_of(account));
            let name = rendezvous::identity(&account.name);
            self.quotas.set(now, name, account.rate, account.burst);
        }
        let names: Vec<Name> = book
            .accounts
            .iter()
            .map(|account| rendezvous::identity(&account.name))
            .collect();
        self.quotas.retain(&names);
    }
}

/// What the scheduler knows of an account; its quota is kept apart.
fn spec_of(account: &Account) -> account::Spec {
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
