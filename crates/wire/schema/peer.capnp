@0xd0f8a5b1c3e79642;

# The protocol between entries. Compatibility: ordinals are never reused or renumbered, new fields and
# methods are appended, and an older entry ignores what it doesn't know.

interface Door {
  # Bootstrap interface of a new connection; authenticates both sides.

  greet @0 (nonce :Data) -> (nonce :Data, proof :Data);
  # Exchanges nonces and returns the callee's proof: HMAC-SHA-256 with the entries' shared key over
  # "callee", the caller's nonce and the callee's nonce.

  enter @1 (proof :Data) -> (entry :Entry);
  # Checks the caller's proof, over "caller" and the same nonces, and returns the entry.
}

interface Entry {
  # Calls of an authenticated peer.

  spend @0 (ticket :Text) -> (answer :Answer);
  # Asks the holder of the ticket's ledger to spend the ticket, which is sealed as callers carry it.

  inherit @1 (estates :Data) -> (taken :Bool, by :UInt64);
  # Transfers ledgers, encoded as JSON, to the callee. `by` is the incarnation that holds them then.

  digest @2 (digest :Digest);
  # Delivers a gossip digest of bounded size, see crates/member.

  configure @3 (from :UInt64, message :Data);
  # Delivers a configuration message, encoded as JSON, see crates/config. `from` is the sender's
  # incarnation.

  charge @4 (account :UInt64, tokens :UInt64) -> (bucket :UInt64, granted :Bool, retryMs :UInt64);
  # Charges a request to the account's quota over all entries; `account` is the hash of its name. If
  # granted, `bucket` identifies the bucket that was charged; otherwise retry after `retryMs`.

  refund @5 (bucket :UInt64, tokens :UInt64);
  # Refunds the charge for a request that didn't run.

  connect @6 (server :Text) -> (tunnel :Tunnel);
  # Opens a connection to a backend server, named by its incarnation, for a peer that can't reach it. The
  # tunnel is null if the callee can't either.
}

interface Tunnel {
  # A connection to a backend server at another entry. It is reset when the caller releases it.

  read @0 () -> (bytes :Data);
  # Waits for bytes from the server; none means that it has closed its side. Fails if the connection breaks.

  write @1 (bytes :Data);
  # Sends bytes to the server. The next call is made after this one has returned.

  close @2 ();
  # Resets the connection, also while a read waits.

  paused @3 (pauseMs :UInt64);
  # Reports that the server asked the entry that holds the connection for a pause.
}

enum Answer {
  unknown @0;
  # It is no longer known whether the ticket was spent.
  granted @1;
  # The ticket was unspent and is now spent.
  spent @2;
  # The ticket had been spent before.
}

struct Digest {
  own @0 :Beat;
  beats @1 :List(Beat);
  records @2 :List(Record);
  items @3 :List(Item);
  greeting @4 :Bool;
  # The sender knows no peers yet and asks for a snapshot of all members.
}

struct Beat {
  # A member's heartbeat.
  id @0 :UInt64;
  count @1 :UInt64;
  # Increases while the member runs.
  applied @2 :UInt64;
  # Configuration version that the member has applied.
  load @3 :UInt8;
  # Load of the member, 0 to 255.
  storeLost @4 :Bool;
  # The member gets no answer from the table service.
  serversLost @5 :Bool;
  # The member reaches no backend server.
}

struct Record {
  # A member's row as others know it.
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
  # Holder of the member's ledger; valid only if hasHeir is set.
  hasHeir @9 :Bool;
  gone @10 :Bool;
  # The lease lapsed or the row was removed; a record with more renewals refutes that.
}

enum State {
  live @0;
  draining @1;
  left @2;
}

struct Item {
  # A versioned gossip item; topic and key identify its subject.
  topic @0 :Topic;
  key @1 :Text;
  version @2 :UInt64;
  # Orders items on the same subject.
  ageMs @3 :UInt64;
  payload @4 :Data;
}

enum Topic {
  leaving @0;
  # A backend server incarnation, named by the key, is leaving.
  quarantine @1;
  # A quarantined fingerprint of a request that crashes backend servers.
  heir @2;
  # The heir of the ledger of an entry that left; the key names that entry.
  demand @3;
  # Accounts' demand at one entry; the key names the entry.
  count @4;
  # One entry's counts; the key names the entry.
  ended @5;
  # The row of a backend server incarnation, named by the key, ended.
  list @6;
  # One entry's report on the list of backend servers; the key names the entry.
  resigned @7;
  # The holder of a lease, named by the key, resigned; the version is its fencing token.
  renewed @8;
  # The holder of a lease, named by the key, renewed it.
  rollout @9;
  # The stage of a service's roll-out, from its leader; the key names the service.
  silent @10;
  # A member, named by the key, is suspected to have failed.
}

struct News {
  # Payload of items on the topics demand and quarantine, packed.
  claims @0 :List(Claim);
  suspects @1 :List(Suspect);
  crashes @2 :List(Crash);
  alone @3 :List(Alone);
  parts @4 :List(Part);
}

struct Claim {
  # One entry's claim on one account's limits.
  name @0 :UInt64;
  # Hash of the account's name.
  demand @1 :Float64;
  # Tokens per second offered to the entry, refused ones included.
  wanted @2 :Float64;
  # Requests that are open or were refused by the limits.
  tokens @3 :Float64;
  # Tokens per second that the entry may grant.
  open @4 :UInt32;
  # Open requests that the entry holds or may grant.
}

struct Suspect {
  # Evidence that a request, identified by its fingerprint, crashes replicas.
  fingerprint @0 :UInt64;
  # Hash of the request's content.
  crashes @1 :List(UInt64);
  # Replicas that crashed while the request ran there.
  acquitted @2 :List(UInt64);
  # Replicas whose crashes it was acquitted of because it later ran to completion.
  judged @3 :Bool;
  # The sender has quarantined it, so no further evidence is needed.
  leftMs @4 :UInt64;
  # Remaining validity when sent; relative because clocks aren't compared.
}

struct Crash {
  # A replica that crashed.
  replica @0 :UInt64;
  zone @1 :UInt64;
  ageMs @2 :UInt64;
}

struct Part {
  # Evidence on a part of prompts on which replicas crash.
  hash @0 :UInt64;
  # Hash of the part's name.
  crashes @1 :List(PartCrash);
  # Crashes that count against it.
  isAnswered @2 :Bool;
  # Whether a replica is known to have answered a prompt with it.
  answeredMs @3 :UInt64;
  # Time since the latest of these answers.
}

struct PartCrash {
  # The crash of a replica that was to answer a prompt.
  replica @0 :UInt64;
  ageMs @1 :UInt64;
}

struct Alone {
  # A replica reserved for a suspect, which runs there alone.
  fingerprint @0 :UInt64;
  replica @1 :UInt64;
}
