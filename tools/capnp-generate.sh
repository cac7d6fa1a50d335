#!/bin/sh
# Makes packages/peer/generated/Peer.capnp.{h,c++} from Peer.capnp again. The
# build does not need this: both files are committed. Needs the package capnproto.
set -eu
cd "$(dirname "$0")/../packages/peer"
capnp compile -oc++:generated Peer.capnp
