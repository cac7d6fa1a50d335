# What daemons tell each other of slow replicas; a datagram holds one
# ReplicaReport. tools/capnp-generate.sh makes generated/ReplicaReport.capnp.h
# and .c++ from this file; both are committed.
@0xb7e3d9125ac4f086;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("shallot::wire");

# 16 bytes. Ages count back from the sending of the report.
struct ReplicaObservation {
  key @0 :UInt64;
  slownessHundredths @1 :UInt16;
  ageMillis @2 :UInt16;
  firstAgeMillis @3 :UInt16;
  waiting @4 :UInt8;
  late @5 :UInt8;
}

struct ReplicaReport {
  host @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  replicas @3 :List(ReplicaObservation);
}
