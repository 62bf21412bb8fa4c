//! Claims on account limits that entries exchange.

/// One entry's claims; bounded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// Claims on the accounts with a limit and demand, sorted by name.
    pub claims: Vec<Claim>,
}

/// One entry's claim on one account's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Hash of the account's name.
    pub name: u64,
    /// Tokens per second offered to the entry, refused ones included.
    pub demand: f64,
    /// Requests that are open or were refused by the limits.
    pub wanted: f64,
    /// Tokens per second that the entry may grant, now or after its next digest.
    pub tokens: f64,
    /// Open requests that the entry holds or may grant, now or after its next digest.
    pub open: u32,
}

impl Digest {
    /// Keeps the claims with the highest demand, sorted by name.
    pub(crate) fn bounded(mut claims: Vec<Claim>, limit: usize) -> Digest {
        claims.sort_by(|a, b| {
            let demand = |claim: &Claim| claim.demand + claim.wanted;
            demand(b).total_cmp(&demand(a)).then(a.name.cmp(&b.name))
        });
        claims.truncate(limit);
        claims.sort_by_key(|claim| claim.name);
        Digest { claims }
    }

    /// Returns the claim on that account.
    pub(crate) fn find(&self, name: u64) -> Option<&Claim> {
        let index = self
            .claims
            .binary_search_by_key(&name, |claim| claim.name)
            .ok()?;
        self.claims.get(index)
    }
}
