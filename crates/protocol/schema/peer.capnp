@0xd1f2c7b5a4e39816;

# Messages between daemons. Each pair of daemons uses one connection.
#
# After a change run `capnp compile -o rust:../src/peer peer.capnp` here, with `capnpc-rust` of the
# crate `capnpc` 0.27 in the path, and `cargo fmt`; commit the generated module.

struct TargetLoad {
  # xxh3-64 of the target's name, truncated to 32 bits.
  target @0 :UInt32;
  # Time from the target's own report to the sending of this summary, in milliseconds.
  ageMs @1 :UInt32;
  running @2 :UInt16;
  waiting @3 :UInt16;
  waitingPrefillTokens @4 :UInt32;
  runningDecode @5 :UInt16;
  slots @6 :UInt16;
  # Bit 0: reachable. Bit 1: switching. Bits 2-3: role (0 mixed, 1 prefill, 2 decode).
  # Bit 4: drained for an order. Bit 5: only the flags are valid, the sender does not own the target.
  flags @7 :UInt8;
  # Number of state changes of this target, counted by its owner.
  stateSequence @8 :UInt32;
}

enum MemberState {
  joining @0;
  ready @1;
  draining @2;
  left @3;
}

# Not used. Crashes of whole requests are in `SuspectReport`.
struct OldSuspect {
  fingerprint @0 :UInt64;
  target @1 :UInt32;
  ageMs @2 :UInt32;
}

# A crash of a target while a request was in flight there.
struct Crash {
  # Fingerprint of the request and, if it waited for its first output, hashes of complete pieces of
  # its prompt. These are chained, so that each names a beginning.
  keys @0 :List(UInt64);
  # xxh3-64 of the target's name, truncated to 32 bits.
  target @1 :UInt32;
  ageMs @2 :UInt32;
  # Time from the sending of the request to the crash, in milliseconds.
  inFlightMs @3 :UInt32;
  # Whether the request ran as a trial: no other suspect that shares a key ran.
  isTrial @4 :Bool;
  # Random id, by which every daemon recognizes the record.
  id @5 :UInt64;
}

# Time since a request with this key was last answered, in milliseconds.
struct KeyAnswer {
  key @0 :UInt64;
  ageMs @1 :UInt32;
}

# Crashes, and the last answers to the keys of these requests.
struct SuspectReport {
  crashes @0 :List(Crash);
  answers @1 :List(KeyAnswer);
}

struct Entry {
  daemon @0 :Text;
  region @1 :Text;
  zone @2 :Text;
  bootId @3 :UInt64;
  sequence @4 :UInt64;
  state @5 :MemberState;
  callerAddress @6 :Text;
  peerAddress @7 :Text;
  configVersion @8 :UInt64;
  loads @9 :List(TargetLoad);
  oldSuspects @10 :List(OldSuspect);
  suspects @11 :SuspectReport;
}

# The part of an entry that changes from round to round; the full entry holds the rest.
struct Heartbeat {
  # xxh3-64 of the daemon's name, truncated to 32 bits.
  daemon @0 :UInt32;
  # Lowest 16 bits of the boot id. A receiver that does not know this run fetches the full entry.
  boot @1 :UInt16;
  state @2 :MemberState;
  sequence @3 :UInt32;
  configVersion @4 :UInt32;
}

# Loads of the targets that a daemon owns.
struct LoadReport {
  daemon @0 :UInt32;
  boot @1 :UInt16;
  # Whether the report lists only the targets whose state has changed.
  partial @2 :Bool;
  # Sequence number of the owner's entry at the time of the report.
  sequence @3 :UInt32;
  loads @4 :List(TargetLoad);
  oldSuspects @5 :List(OldSuspect);
  suspects @6 :SuspectReport;
}

# Sent as a packed message inside `Data`, because the RPC library sends its messages unpacked.
struct Digest {
  heartbeats @0 :List(Heartbeat);
  reports @1 :List(LoadReport);
  # Last heartbeats of daemons from which a watching daemon receives no more heartbeats.
  suspicions @2 :List(Heartbeat);
}

struct Config {
  version @0 :UInt64;
  operator @1 :Text;
  # JSON of the deployment.
  body @2 :Data;
}

struct Answer {
  union {
    unknown @0 :Void;
    running @1 :Void;
    done :group {
      status @2 :UInt16;
      contentType @3 :Text;
      body @4 :Data;
    }
    forbidden @5 :Void;
  }
}

struct KeyState {
  union {
    unknown @0 :Void;
    running @1 :Void;
    finished @2 :Void;
  }
}

struct PieceSet {
  target @0 :UInt32;
  ageMs @1 :UInt32;
  # Truncated hashes of the pieces that the target has stored since the last message.
  stored @2 :List(UInt64);
  removed @3 :List(UInt64);
  # Whether earlier pieces of this target are invalid, after lost events or a restart of the target.
  reset @4 :Bool;
}

interface Peer {
  # Gossip: entries of new runs, and a packed `Digest` of everything else. `sender` is the 32-bit
  # hash of the calling daemon's name. Returns nothing; lost messages are repaired by `pull`.
  gossip @0 (entries :List(Entry), digest :Data, sender :UInt32) -> ();
  # The members of the callee's region: full entries for a starting daemon, a packed `Digest` of
  # heartbeats for periodic repair. A caller from another region receives only a few entries.
  pull @1 (starting :Bool, region :Text) -> (entries :List(Entry), digest :Data);
  # The callee's configuration if its version is above `above`, otherwise an empty version 0.
  fetchConfig @2 (above :UInt64) -> (config :Config);
  # The buffered response of a request that the callee handled for `team`.
  fetchAnswer @3 (requestId :Text, team :Text) -> (answer :Answer);
  # State of a request with an idempotency key that the callee coordinates. Waits at most `waitMs`
  # milliseconds for the request to finish.
  awaitKey @4 (team :Text, key :Text, waitMs :UInt32) -> (state :KeyState);
  # Changes of the cache pieces of targets that the calling daemon owns.
  cachePieces @5 (sets :List(PieceSet)) -> ();
  # The callee's own heartbeat. Called when its last heartbeat is old, before it is suspected.
  probe @6 () -> (heartbeat :Heartbeat);
  # Full entries, without loads, of the daemons with the given name hashes.
  fetchEntries @7 (daemons :List(UInt32)) -> (entries :List(Entry));
  # Exchange between regions: each side sends a few entries of its region, without loads.
  exchange @8 (entries :List(Entry)) -> (entries :List(Entry));
  # Asks whether a request of the calling daemon, which is suspected of crashing targets, may run.
  # `clock` is the logical clock of its turn; both sides pass on their clocks and the crashes that
  # they know of this fingerprint and of prompts with any of `pieces`, those of the request's prompt
  # that are suspected.
  takeTurn @9 (fingerprint :UInt64, clock :UInt64, daemon :Text,
      oldSuspects :List(OldSuspect), pieces :List(UInt64), suspects :SuspectReport)
    -> (isHeldBack :Bool, clock :UInt64, oldSuspects :List(OldSuspect), suspects :SuspectReport);
}
