@0xd1f2a7c4b8e39a56;
# Calls between the hosts of a fleet over TCP links.
# Fields and methods are only ever added, so that adjacent versions are
# compatible.

struct Id { high @0 :UInt64; low @1 :UInt64; }

struct Snapshot { map @0 :UInt32; index @1 :UInt64; }

struct Subquery { attempt @0 :Id; shard @1 :UInt32; target @2 :Text; }

struct Batch {
  request @0 :Id;
  service @1 :Text;
  pool @2 :Text;
  snapshot @3 :Snapshot;
  timeLeftMicros @4 :UInt64;
  isIdempotent @5 :Bool;
  isExtra @6 :Bool;
  fingerprint @7 :UInt64;
  body @8 :Data;
  subqueries @9 :List(Subquery);
}

struct TargetStatus {
  target @0 :Text;
  incarnation @1 :UInt64;
  isLeaving @2 :Bool;
  isUp @3 :Bool;
  limit @4 :UInt32;
  inFlight @5 :UInt32;
  waitMicros @6 :UInt64;
  snapshots @7 :List(Snapshot);
}

struct Part {
  attempt @0 :Id;
  shard @1 :UInt32;
  target @2 :Text;
  queuedMicros @3 :UInt64;
  serviceMicros @4 :UInt64;
  status @5 :TargetStatus;  # null if unknown
  result :union {
    answer :group { snapshot @6 :Snapshot; body @7 :Data; }
    failed :group { missing @8 :Text; outcome @9 :Text; }
  }
}

struct Hello {
  fleet @0 :Text;
  version @1 :UInt16;
  host @2 :Text;
  address @3 :Text;      # ip:port where the sender listens for hosts
  incarnation @4 :UInt64;
  mac @5 :Data;          # over the challenge and the fields above; empty without a secret
}

struct Redemption {
  minter @0 :Text;
  incarnation @1 :UInt64;
  secret @2 :Id;
  service @3 :Text;
  timeLeftMicros @4 :UInt64;
  hasShard @5 :Bool;
  shard @6 :UInt32;
  body @7 :Data;
}

struct Death { target @0 :Text; incarnation @1 :UInt64; shard @2 :UInt32; }

struct SuspectNote {
  fingerprint @0 :UInt64;
  deaths @1 :List(Death);
  quarantineMicros @2 :UInt64;  # 0 without a quarantine
  wasAnswered @3 :Bool;
}

struct SuspectNotes { notes @0 :List(SuspectNote); }

interface Gate {
  # Bootstrap object of a link.
  challenge @0 () -> (nonce :Data);
  hello @1 (hello :Hello) -> (host :Host);
}

interface Host {
  run @0 (batch :Batch, sink :PartSink) -> ();
  cancel @1 (request :Id, attempts :List(Id)) -> ();
  status @2 (pool :Text) -> (targets :List(TargetStatus));
  redeem @3 (redemption :Redemption) -> (status :UInt16, body :Data);
  deliver @4 (message :Data) -> ();  # a frame too large for a datagram
  ping @5 () -> ();
}

interface PartSink {
  parts @0 (parts :List(Part)) -> ();
}
