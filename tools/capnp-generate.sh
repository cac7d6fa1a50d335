#!/bin/sh
# Makes packages/peer/generated/*.capnp.{h,c++} from the schema files again. The
# build does not need this: the files are committed. Needs the package capnproto.
set -eu
cd "$(dirname "$0")/../packages/peer"
capnp compile -oc++:generated Peer.capnp ReplicaReport.capnp
