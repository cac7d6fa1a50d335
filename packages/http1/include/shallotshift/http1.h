//===- shallotshift/http1.h - HTTP/1.1 that forwards as it came -*- C++ -*-===//
//
// The public header of package http1: callers' connections (CallerServer.h) and
// what passes on them (CallerMessages.h), kept connections to replicas
// (UpstreamPool.h), whether a replica's process ended (CrashCheck.h), messages
// as bytes (MessageText.h) and short timers (TimerQueue.h). All on the one
// thread of an EventLoop. docs/design/forwarding.md says why the general client
// and server of package net do not do here.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_HTTP1_H
#define SHALLOTSHIFT_HTTP1_H

#include "http1/CallerMessages.h"
#include "http1/CallerServer.h"
#include "http1/CrashCheck.h"
#include "http1/MessageText.h"
#include "http1/TimerQueue.h"
#include "http1/UpstreamPool.h"

#endif // SHALLOTSHIFT_HTTP1_H
