//===- MessageText.h - HTTP/1.1 messages as bytes ---------------*- C++ -*-===//
//
// This header is not for other packages.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_HTTP1_MESSAGETEXT_H
#define SHALLOTSHIFT_HTTP1_MESSAGETEXT_H

#include "shallotshift/base.h"

#include <string>

namespace shallot {

/// The start line and \p Headers of a request, to be completed by
/// requestText(). Made once where one request is sent to several replicas.
std::string requestHead(std::string_view Method, std::string_view Target,
                        const HttpHeaders &Headers);

/// The bytes of a request. The length of \p Body is said unless it is empty and
/// the method of \p Head is one that comes without a body.
std::string requestText(std::string_view Head, const HttpHeaders &Further,
                        std::string_view Body);

/// The bytes of a reply with its length. \p Close says that the connection
/// ends behind it. \p WithBody is false for a reply to HEAD.
std::string replyText(int Status, const HttpHeaders &Headers,
                      std::string_view Body, bool Close, bool WithBody);

/// True for headers that belong to one connection and are not passed on: the
/// standard ones, and those that \p Connection (the value of that header)
/// names.
bool isHopHeader(std::string_view Name, std::string_view Connection);

} // namespace shallot

#endif // SHALLOTSHIFT_HTTP1_MESSAGETEXT_H
