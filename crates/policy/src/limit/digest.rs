//! What entries tell each other about account limits.

/// One entry's news; bounded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Digest {
    /// In order of name, one for each account with a limit and demand.
    pub claims: Vec<Claim>,
}

/// One account at one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Hash of the account's name.
    pub name: u64,
    /// Tokens a second asked of the entry, refused ones included.
    pub demand: f64,
    /// Requests open or refused for want of room.
    pub wanted: f64,
    /// Tokens a second that the entry may use, or will after its next digest.
    pub tokens: f64,
    /// Open requests that the entry may hold or holds, or will be allowed after its next digest.
    pub open: u32,
}

impl Digest {
    /// The claims with the most demand, in order of name.
    pub(crate) fn bounded(mut claims: Vec<Claim>, most: usize) -> Digest {
        claims.sort_by(|a, b| {
            let demand = |claim: &Claim| claim.demand + claim.wanted;
            demand(b).total_cmp(&demand(a)).then(a.name.cmp(&b.name))
        });
        claims.truncate(most);
        claims.sort_by_key(|claim| claim.name);
        Digest { claims }
    }

    /// The claim on that account.
    pub(crate) fn find(&self, name: u64) -> Option<&Claim> {
        let at = self
            .claims
            .binary_search_by_key(&name, |claim| claim.name)
            .ok()?;
        self.claims.get(at)
    }
}
