// What leaves on the wire: method, target and body as they came, no header of
// one connection, no header that nobody asked for.
#include "shallotshift/http1.h"

#include <doctest/doctest.h>

using namespace shallot;

TEST_CASE("a request is written as it came") {
  std::string Head = requestHead("GET", "/a/../b?x=%2F", {{"Host", "h"}});
  CHECK(requestText(Head, {{"More", "1"}}, "") ==
        "GET /a/../b?x=%2F HTTP/1.1\r\nHost: h\r\nMore: 1\r\n\r\n");
  CHECK(requestText(requestHead("POST", "/", {}), {}, "ab") ==
        "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
  CHECK(requestText(requestHead("PUT", "/", {}), {}, "") ==
        "PUT / HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  CHECK(requestText(requestHead("DELETE", "/", {}), {}, "ab") ==
        "DELETE / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab");
}

TEST_CASE("a reply has its length, and a HEAD's reply no body") {
  CHECK(replyText(200, {{"A", "1"}}, "xyz", false, true) ==
        "HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 3\r\n\r\nxyz");
  CHECK(replyText(200, {}, "xyz", true, false) ==
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\n");
  CHECK(replyText(204, {}, "", false, true) ==
        "HTTP/1.1 204 No Content\r\n\r\n");
}

TEST_CASE("headers of one connection are known, those it names too") {
  CHECK(isHopHeader("connection", ""));
  CHECK(isHopHeader("Transfer-Encoding", ""));
  CHECK(isHopHeader("X-Mine", "close, x-mine"));
  CHECK_FALSE(isHopHeader("X-Mine", "close"));
  CHECK_FALSE(isHopHeader("Host", "close"));
}
