//===- shallotshift/net.h - Event loop, HTTP client and server --*- C++ -*-===//
//
// The public header of package net. Everything runs on the one thread of an
// EventLoop; callbacks are called on it and never before the call that asked
// for them has returned.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_H
#define SHALLOTSHIFT_NET_H

#include "net/Containment.h"
#include "net/EventLoop.h"
#include "net/HttpClient.h"
#include "net/HttpServer.h"
#include "net/HttpTypes.h"
#include "net/Problem.h"
#include "net/ProcessFigures.h"
#include "net/ProcessGuard.h"
#include "net/StartRetry.h"
#include "net/SuspendedTime.h"
#include "net/TcpOptions.h"

#endif // SHALLOTSHIFT_NET_H
