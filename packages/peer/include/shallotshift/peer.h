//===- shallotshift/peer.h - Daemons talking to daemons ---------*- C++ -*-===//
//
// The public header of package peer: calls between daemons by Cap'n Proto RPC
// (PeerNode.h), the datagrams of the membership protocol (GossipSocket.h),
// those of quotas (QuotaCodec.h) and reports of slow replicas
// (ReplicaReportCodec.h).
// Callbacks run on the thread of the EventLoop and never before the call that
// asked for them has returned.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_PEER_H
#define SHALLOTSHIFT_PEER_H

#include "peer/DatagramSocket.h"
#include "peer/GossipCodec.h"
#include "peer/GossipSocket.h"
#include "peer/PeerNode.h"
#include "peer/PeerTypes.h"
#include "peer/QuotaCodec.h"
#include "peer/ReplicaReportCodec.h"

#endif // SHALLOTSHIFT_PEER_H
