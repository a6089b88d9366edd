@0xb7d90c3e51aa8f24;
# Messages of the fleet state machines, sent as datagrams or, when bulk, over links.
# Fields and variants are only ever added.

struct Message {
  sender @0 :Text;
  incarnation @1 :UInt64;
  body :union {
    ping @2 :Probe;
    ack @3 :Probe;
    pingRequest @4 :Indirect;
    indirectAck @5 :Indirect;
    digest @6 :List(DomainDigest);
    members @7 :List(Record);
    announce @8 :Announce;
    pull @9 :UInt64;
    documents @10 :Documents;
    claim @11 :Claims;
    verdict @12 :Verdicts;
    release @13 :Rights;
    borrow @14 :Groups;
    loan @15 :Groups;
  }
}

struct Probe {
  seq @0 :UInt64;
  own @1 :Record;
  members @2 :UInt64;
  revision @3 :UInt64;
  isConfirmed @4 :Bool;
  records @5 :List(Record);
  revisions @6 :List(HostRevision);
}

struct Indirect { seq @0 :UInt64; address @1 :Text; }

struct Record {
  host @0 :Text;
  domain @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  epoch @4 :UInt32;
  state @5 :MemberState;
  isLeaving @6 :Bool;
  isServing @7 :Bool;
  isVoter @8 :Bool;
  seniority @9 :UInt32;
}

enum MemberState { alive @0; suspect @1; dead @2; left @3; forgotten @4; }

struct HostRevision { host @0 :UInt64; incarnation @1 :UInt64; revision @2 :UInt64; }

struct DomainDigest { domain @0 :Text; members @1 :UInt64; }

struct Announce { root @0 :Text; revision @1 :UInt64; }

struct Documents {
  after @0 :UInt64;
  upto @1 :UInt64;
  revision @2 :UInt64;
  isConfirmed @3 :Bool;
  records @4 :List(DocumentRecord);
}

struct DocumentRecord { key @0 :Text; revision @1 :UInt64; isDeleted @2 :Bool; text @3 :Text; }

struct Right { group @0 :UInt64; isPrimary @1 :Bool; }

struct Claims { seq @0 :UInt64; claims @1 :List(Claim); }

struct Claim { right @0 :Right; voters @1 :UInt64; }

struct Verdicts { seq @0 :UInt64; verdicts @1 :List(Verdict); }

struct Verdict { right @0 :Right; voters @1 :UInt64; answer @2 :Answer; }

enum Answer { granted @0; grantedAfterRelease @1; held @2; otherVoters @3; waiting @4; }

struct Rights { seq @0 :UInt64; rights @1 :List(Right); }

struct Groups { seq @0 :UInt64; groups @1 :List(UInt64); }
