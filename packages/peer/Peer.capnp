# What daemons say to each other: calls by RPC (Peer, Session) and the datagrams
# of the membership protocol (Gossip). tools/capnp-generate.sh makes
# Peer.capnp.h and Peer.capnp.c++ from this file; both are committed.
@0xd2c5f8a41be97360;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shallot::wire");

struct Daemon {
  host @0 :Text;
  incarnation @1 :UInt64;
}

struct Snapshot {
  index @0 :UInt64;
  partition @1 :UInt64;
}

struct Failure {
  code @0 :UInt16; # ResultCode
  detail @1 :Text;
}

struct SubRequest {
  request @0 :Text;
  attempt @1 :Text;
  owner @2 :Text;
  callerClass @3 :Text;
  service @4 :Text;
  target @5 :Text;
  pinned @6 :Bool;
  pinIndex @7 :UInt64;
  pinPartition @8 :UInt64;
  remainingMicros @9 :UInt64;
  priority @10 :UInt8;
  traceParent @11 :Text;
  body @12 :Data;
  idempotencyKey @13 :Text;  # Not empty: an action.
}

struct SubReply {
  code @0 :UInt16;
  servedIndex @1 :UInt64;
  servedPartition @2 :UInt64;
  servable @3 :List(Snapshot);
  load @4 :Float64;
  cold @5 :Bool;
  draining @6 :Bool;
  retryAfterMicros @7 :UInt64;
  upstreamTookMicros @8 :UInt64;
  queuedMicros @9 :UInt64;
  holderQueue @10 :UInt32;
  body @11 :Data;
  status @12 :UInt16;
  crashed @13 :Bool;
}

struct Blob {
  hash @0 :Text;
  json @1 :Data;
}

struct ActionRequest {
  request @0 :Text;
  owner @1 :Text;
  callerClass @2 :Text;
  service @3 :Text;
  key @4 :Text;
  body @5 :Data;
  digest @6 :Text;
  traceParent @7 :Text;
  remainingMicros @8 :UInt64;
  aim @9 :UInt8;
  firstAttempt @10 :Bool;
}

struct ActionOutcome {
  code @0 :UInt16;
  upstreamStatus @1 :Int32;
  body @2 :Data;
  replayed @3 :Bool;
  bodyDropped @4 :Bool;
  retryAfterMicros @5 :UInt64;
  detail @6 :Text;
}

# What every daemon offers. Calls go to the session and may be sent before open
# has been answered; they fail when it is refused.
interface Peer {
  open @0 (caller :Daemon, expected :Daemon) -> (session :Session, accepted :Bool);
}

# In every answer, failure is set instead of the rest when the call failed.
interface Session {
  search @0 SubRequest -> (reply :SubReply, failure :Failure);
  fetchConfig @1 (have :List(Text), minGeneration :UInt64)
      -> (head :Data, blobs :List(Blob), failure :Failure);
  forward @2 (request :ActionRequest) -> (outcome :ActionOutcome, failure :Failure);
  intent @3 (owner :Text, key :Text, digest :Text, expiry :Int64)
      -> (answer :UInt8, failure :Failure);
  outcome @4 (owner :Text, key :Text, expiry :Int64, outcome :ActionOutcome)
      -> (failure :Failure);
  fence @5 (owner :Text, key :Text, digest :Text, expiry :Int64)
      -> (answer :UInt8, outcome :ActionOutcome, failure :Failure);
  ping @6 ();
  leaving @7 () -> (version :UInt64, upstreams :List(Text), failure :Failure);
  records @8 (known :UInt64)
      -> (version :UInt64, document :Data, failure :Failure);
}

struct GossipMember {
  host @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  region @3 :Text;
  httpIp @4 :UInt32;
  gossipIp @5 :UInt32;
  rpcIp @6 :UInt32;
  httpPort @7 :UInt16;
  gossipPort @8 :UInt16;
  rpcPort @9 :UInt16;
  state @10 :UInt8;
  thought @11 :UInt8;
  version @12 :UInt64;
  accuser @13 :Text;
  capacity @14 :UInt32;
  load @15 :UInt32;
  storeAccess @16 :UInt8;  # Untried from versions without it.
}

# Quotas of organisations; a datagram holds one Quotas.
struct QuotaAsk {
  name @0 :Text;
  spent @1 :UInt64;
  returned @2 :UInt64;
  needed @3 :UInt32;
  wanted @4 :UInt32;
}

struct QuotaGrant {
  name @0 :Text;
  granted @1 :UInt64;
  waitMicros @2 :UInt32;
  intervalMicros @3 :UInt32;
  prompt @4 :Bool;
}

struct QuotaRelease {
  name @0 :Text;
  level @1 :Float64;
  outstanding @2 :Float64;
  idle @3 :Bool;
  answer @4 :UInt8;
  uptimeMillis @5 :UInt32;
  fraction @6 :Float64;
  withheld @7 :Float64;
  withheldMicros @8 :UInt32;
  rival @9 :UInt64;
  supportsRival @10 :Bool;
  idleMillis @11 :UInt32;
}

struct Quotas {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  asks @3 :List(QuotaAsk);
  grants @4 :List(QuotaGrant);
  releases @5 :List(QuotaRelease);
  claims @6 :List(Text);  # Names.
}

struct Gossip {
  kind @0 :UInt8;
  sender @1 :GossipMember;
  sequence @2 :UInt64;
  targetHost @3 :Text;
  targetIncarnation @4 :UInt64;
  targetIp @5 :UInt32;
  targetPort @6 :UInt16;
  configGeneration @7 :UInt64;
  configHead @8 :UInt64;
  buckets @9 :UInt64;
  digests @10 :List(UInt32);
  updates @11 :List(GossipMember);
  quarantineRevision @12 :UInt64;
  evacuationRevision @13 :UInt64;
  # Epochs of configHead and the two revisions; 0 from versions without them.
  headEpoch @14 :UInt64;
  quarantineEpoch @15 :UInt64;
  evacuationEpoch @16 :UInt64;
}
