@0xd0f8a5b1c3e79642;

# What entries say to each other. Rules of change: ordinals are never used again, nothing is
# renumbered, a new field or method goes at the end; an older entry passes over what it doesn't know.

interface Door {
  # What a new connection offers before the other side has proved itself.

  greet @0 (nonce :Data) -> (nonce :Data, proof :Data);
  # The caller's nonce for the callee's nonce and its proof: HMAC-SHA-256 under the entries' common
  # key over "callee", the caller's nonce and the callee's nonce.

  enter @1 (proof :Data) -> (entry :Entry);
  # The caller's proof, over "caller" and the same nonces, for the entry itself.
}

interface Entry {
  # An entry, to a peer that has proved itself.

  spend @0 (ticket :Text) -> (answer :Answer);
  # Asks the holder of a ticket's ledger to spend it. The ticket is sealed, as callers carry it.

  inherit @1 (estates :Data) -> (taken :Bool, by :UInt64);
  # Hands ledgers on; JSON. `by` is the incarnation that holds them from now on.

  digest @2 (bytes :Data);
  # A bounded digest of news, see crates/member.

  configure @3 (from :UInt64, message :Data);
  # A message about the configuration, see crates/config; JSON. `from` is the sender's incarnation.
}

enum Answer {
  unknown @0;
  # It can't be said any more whether the ticket was spent.
  granted @1;
  # It was unspent and is spent now.
  spent @2;
  # It was spent before.
}
