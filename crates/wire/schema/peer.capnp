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

  digest @2 (digest :Digest);
  # A bounded digest of news, see crates/member.

  configure @3 (from :UInt64, message :Data);
  # A message about the configuration, see crates/config; JSON. `from` is the sender's incarnation.

  charge @4 (account :UInt64, tokens :UInt64) -> (bucket :UInt64, granted :Bool, retryMs :UInt64);
  # Charges a request to the quota of an account, by the hash of its name, for all entries. If it is granted,
  # `bucket` names what was charged; else `retryMs` says when to come back.

  refund @5 (bucket :UInt64, tokens :UInt64);
  # Gives back what `charge` took for a request that didn't run.
}

enum Answer {
  unknown @0;
  # It can't be said any more whether the ticket was spent.
  granted @1;
  # It was unspent and is spent now.
  spent @2;
  # It was spent before.
}

struct Digest {
  own @0 :Beat;
  beats @1 :List(Beat);
  records @2 :List(Record);
  items @3 :List(Item);
  greeting @4 :Bool;
  # The sender knows no peers yet.
}

struct Beat {
  # A member's heartbeat.
  id @0 :UInt64;
  count @1 :UInt64;
  # Rises while the member runs.
  applied @2 :UInt64;
  # Configuration version that it has in force.
  load @3 :UInt8;
  # How full it is, 0 to 255.
  storeLost @4 :Bool;
  # The table service doesn't answer it.
}

struct Record {
  # A member's row.
  id @0 :UInt64;
  zone @1 :Text;
  address @2 :Text;
  peerAddress @3 :Text;
  state @4 :State;
  applied @5 :UInt64;
  termMs @6 :UInt64;
  renewals @7 :UInt64;
  # Orders records of the same member.
  heir @8 :UInt64;
  # Holder of its ledger; counts only where hasHeir is set.
  hasHeir @9 :Bool;
  gone @10 :Bool;
}

enum State {
  live @0;
  draining @1;
  left @2;
}

struct Item {
  # One piece of news.
  topic @0 :Topic;
  key @1 :Text;
  version @2 :UInt64;
  # Orders pieces on the same subject.
  ageMs @3 :UInt64;
  payload @4 :Data;
}

enum Topic {
  leaving @0;
  quarantine @1;
  heir @2;
  demand @3;
  count @4;
  ended @5;
  list @6;
  resigned @7;
  renewed @8;
  rollout @9;
  silent @10;
}

struct News {
  # The payload of an item on demand or quarantine, packed.
  claims @0 :List(Claim);
  suspects @1 :List(Suspect);
  crashes @2 :List(Crash);
  alone @3 :List(Alone);
}

struct Claim {
  # One account at one entry.
  name @0 :UInt64;
  # Hash of the account's name.
  demand @1 :Float64;
  wanted @2 :Float64;
  tokens @3 :Float64;
  open @4 :UInt32;
}

struct Suspect {
  # What is held against one request.
  fingerprint @0 :UInt64;
  crashes @1 :List(UInt64);
  acquitted @2 :List(UInt64);
  judged @3 :Bool;
  leftMs @4 :UInt64;
}

struct Crash {
  # A replica that crashed.
  replica @0 :UInt64;
  zone @1 :UInt64;
  ageMs @2 :UInt64;
}

struct Alone {
  # A suspect that runs alone.
  fingerprint @0 :UInt64;
  replica @1 :UInt64;
}
