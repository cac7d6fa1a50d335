//===- CurlLibrary.h - libcurl, loaded at its first use ---------*- C++ -*-===//
//
// libcurl brings some thirty libraries with it. Linked into a program, they are
// loaded before main(), and a signal that comes meanwhile ends the process
// (ProcessGuard.h). Loaded at the first use, they come after that.
//
// This header is not for other packages.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_NET_CURLLIBRARY_H
#define SHALLOTSHIFT_NET_CURLLIBRARY_H

#include <curl/curl.h>

namespace shallot::internal {

/// The functions of libcurl that are used here, by their names without "curl".
struct CurlLibrary {
  decltype(&curl_global_init) GlobalInit;
  decltype(&curl_easy_init) EasyInit;
  decltype(&curl_easy_setopt) EasySetopt;
  decltype(&curl_easy_getinfo) EasyGetinfo;
  decltype(&curl_easy_cleanup) EasyCleanup;
  decltype(&curl_multi_init) MultiInit;
  decltype(&curl_multi_setopt) MultiSetopt;
  decltype(&curl_multi_add_handle) MultiAddHandle;
  decltype(&curl_multi_remove_handle) MultiRemoveHandle;
  decltype(&curl_multi_socket_action) MultiSocketAction;
  decltype(&curl_multi_info_read) MultiInfoRead;
  decltype(&curl_multi_cleanup) MultiCleanup;
};

/// The library, initialised. Throws std::runtime_error if it is not installed.
const CurlLibrary &curl();

} // namespace shallot::internal

#endif // SHALLOTSHIFT_NET_CURLLIBRARY_H
