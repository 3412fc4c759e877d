@0xd1f2c7b5a4e39816;

# Messages between daemons. One connection a pair.

struct TargetLoad {
  # xxh3-64 of the target's name, truncated to 32 bits.
  target @0 :UInt32;
  # Milliseconds between the target's own report and the time this summary was sent.
  ageMs @1 :UInt32;
  running @2 :UInt16;
  waiting @3 :UInt16;
  waitingPrefillTokens @4 :UInt32;
  runningDecode @5 :UInt16;
  slots @6 :UInt16;
  # Bit 0: reachable. Bit 1: switching. Bits 2-3: role (0 mixed, 1 prefill, 2 decode).
  # Bit 4: drained for an order. Bit 5: only the flags are valid, the sender does not own the target.
  flags @7 :UInt8;
  # Owner's count of state changes of this target.
  stateSequence @8 :UInt32;
}

enum MemberState {
  joining @0;
  ready @1;
  draining @2;
  left @3;
}

struct Suspect {
  fingerprint @0 :UInt64;
  crashes @1 :UInt8;
  ageMs @2 :UInt32;
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
  suspects @10 :List(Suspect);
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
  # Truncated piece hashes that the target has stored since the last message.
  stored @2 :List(UInt64);
  removed @3 :List(UInt64);
  # All older pieces of this target are void (gap or new boot of the target).
  reset @4 :Bool;
}

interface Peer {
  # Rumours: changed entries. Returns nothing; loss is repaired by pull.
  gossip @0 (entries :List(Entry)) -> ();
  # Every entry the callee knows, for a starting daemon and for periodic repair.
  pull @1 () -> (entries :List(Entry));
  # The callee's configuration when its version is above `above`; an empty version 0 otherwise.
  fetchConfig @2 (above :UInt64) -> (config :Config);
  # The buffered answer of a request that the callee ran for `team`.
  fetchAnswer @3 (requestId :Text, team :Text) -> (answer :Answer);
  # State of a keyed request that the callee coordinates; waits at most `waitMs` for its end.
  awaitKey @4 (team :Text, key :Text, waitMs :UInt32) -> (state :KeyState);
  # Cache pieces of targets owned by the caller of this method.
  cachePieces @5 (sets :List(PieceSet)) -> ();
  # The callee's own entry. Asked when its last one is old, before it counts as silent.
  probe @6 () -> (entry :Entry);
}
