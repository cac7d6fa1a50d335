//===- ReplyForms.h - Sound and broken replies ------------------*- C++ -*-===//
//
// Whole replies as bytes, for every reader of replies. The connection stays
// open behind each.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_TESTS_REPLYFORMS_H
#define SHALLOTSHIFT_TESTS_REPLYFORMS_H

#include <string>
#include <vector>

namespace shallot::test {

/// Bytes that RFC 9110 and RFC 9112 do not allow as a reply's head.
inline std::vector<std::string> brokenHeads() {
  const std::string Rest = "\r\nContent-Length: 2\r\n\r\nok";
  std::vector<std::string> Forms;
  for (const char *Line : {"HTTP/1.1 000 OK",
                           "HTTP/1.1 001 OK",
                           "HTTP/1.1 099 OK",
                           "HTTP/1.1 0 OK",
                           "HTTP/1.1 2 OK",
                           "HTTP/1.1 20 OK",
                           "HTTP/1.1 0200 OK",
                           "HTTP/1.1 600 OK",
                           "HTTP/1.1 999 OK",
                           "HTTP/1.1 1000 OK",
                           "HTTP/1.1 -200 OK",
                           "HTTP/1.1 2x0 OK",
                           "HTTP/1.1 OK",
                           "HTTP/1.1",
                           "HTTP/1.1\t200 OK",
                           "HTTP/1.1  200 OK",
                           "HTTP/1.1 200\tOK",
                           "HTTP/1.1 200 O\x01K",
                           "HTTP/1.1 200 O\rK",
                           "HTTP/1.1 101 Switching",
                           "HTTP/2.0 200 OK",
                           "HTTP/0.9 200 OK",
                           "HTTP/1.10 200 OK",
                           "HTTP/1 200 OK",
                           "http/1.1 200 OK",
                           "ICY 200 OK",
                           "\r\nHTTP/1.1 200 OK",
                           " HTTP/1.1 200 OK",
                           "200 OK"})
    Forms.push_back(Line + Rest);
  for (const char *Line : {"X A: b",
                           "X-A : b",
                           "X-A\t: b",
                           " X-A: b",
                           "\tX-A: b",
                           "X\x01: b",
                           "X\x7f: b",
                           "X\x80: b",
                           "X[]: b",
                           "X\"A\": b",
                           "X(A): b",
                           ": b",
                           "no colon",
                           "X-A: b\x01",
                           "X-A: b\x7f",
                           "X-A: a\rb",
                           "Content-Length : 3",
                           "Content-Length: 2",
                           "Content-Length: 3",
                           "Content-Length: -2",
                           "Content-Length: +2",
                           "Content-Length: 0x2",
                           "Content-Length: 2, 2",
                           "Content-Length: 2 2",
                           "Content-Length:",
                           "Content-Length: 99999999999999999999999",
                           "Transfer-Encoding : chunked",
                           "Transfer-Encoding: chunked",
                           "Transfer-Encoding: gzip",
                           "Transfer-Encoding: identity",
                           "Content-Encoding : gzip",
                           "Request-Id : other",
                           "Not-Executed : 1"})
    Forms.push_back(std::string("HTTP/1.1 200 OK\r\n") + Line + Rest);
  for (const char *Line :
       {"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: chunked;a=b", "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: xchunked", "Transfer-Encoding: chunked\r\n gzip",
        "Transfer-Encoding:"})
    Forms.push_back(std::string("HTTP/1.1 200 OK\r\n") + Line +
                    "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  Forms.push_back("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                  "2\r\nok\r\n0\r\n\r\n");
  Forms.push_back(std::string("HTTP/1.1 200 OK\r\nX\0A: b", 23) + Rest);
  Forms.push_back(std::string("HTTP/1.1 200 OK\r\nX-A: \0b", 24) + Rest);
  Forms.push_back("HTTP/1.1 103 Early\r\nX A: b\r\n\r\nHTTP/1.1 200 OK" + Rest);
  Forms.push_back("HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK" + Rest);
  return Forms;
}

/// Chunked bodies that RFC 9112 does not allow, behind a sound head.
inline std::vector<std::string> brokenChunks() {
  std::vector<std::string> Forms;
  for (const char *Body : {"\r\n2\r\nok\r\n0\r\n\r\n",
                           "x\r\nok\r\n0\r\n\r\n",
                           " 2\r\nok\r\n0\r\n\r\n",
                           "+2\r\nok\r\n0\r\n\r\n",
                           "0x2\r\nok\r\n0\r\n\r\n",
                           "2 \r\nok\r\n0\r\n\r\n",
                           "2x\r\nok\r\n0\r\n\r\n",
                           "2\nok\r\n0\r\n\r\n",
                           "2\rxok\r\n0\r\n\r\n",
                           "2;a\nok\r\n0\r\n\r\n",
                           "2;a=\x01\r\nok\r\n0\r\n\r\n",
                           "2\r\nokxx0\r\n\r\n",
                           "2\r\nok\n0\r\n\r\n",
                           "2\r\nokay\r\n0\r\n\r\n",
                           "fffffffffffffffff\r\nok\r\n0\r\n\r\n",
                           "-1\r\nok\r\n0\r\n\r\n",
                           "2\r\nok\r\n0\r\nX A: b\r\n\r\n",
                           "2\r\nok\r\n0\r\nX-A : b\r\n\r\n",
                           "2\r\nok\r\n0\r\n X-A: b\r\n\r\n",
                           "2\r\nok\r\n0\r\nX\x01: b\r\n\r\n",
                           "2\r\nok\r\n0\r\nno colon\r\n\r\n"})
    Forms.push_back(
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") +
        Body);
  return Forms;
}

/// Replies with status 200 and the body "ok" that the RFCs allow.
inline std::vector<std::string> soundReplies() {
  const std::string Rest = "\r\nContent-Length: 2\r\n\r\nok";
  std::vector<std::string> Forms;
  for (const char *Line :
       {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200",
        "HTTP/1.1 200 all is well: 100%", "HTTP/1.1 200 \xc3\xa9\xff",
        "HTTP/1.1 200 a\tb", "HTTP/1.0 200 OK"})
    Forms.push_back(Line + Rest);
  for (const char *Line :
       {"X-A:", "X-A: ", "X-A:b", "X-A: \xc3\xa9\xff", "X-A: a\tb",
        "X-A: a\r\n b", "X-A: a\r\n\tb", "X-A:\r\n b", "X-A: a : b",
        "!#$%&'*+-.^_`|~09azAZ: b", "x-a: b\r\nX-A: c", "X-A: \t b \t",
        "Connection: keep-alive, x"})
    Forms.push_back(std::string("HTTP/1.1 200 OK\r\n") + Line + Rest);
  Forms.push_back("HTTP/1.1 200 OK\r\nContent-Length:\t2 \r\n\r\nok");
  Forms.push_back("HTTP/1.1 200 OK\r\ncontent-length:002\r\n\r\nok");
  Forms.push_back("HTTP/1.1 200 OK\nContent-Length: 2\n\nok");
  for (const char *Head :
       {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n",
        "HTTP/1.1 199 \r\nContent-Length: 7\r\n\r\n"})
    Forms.push_back(std::string(Head) + "HTTP/1.1 200 OK" + Rest);
  for (const char *Body :
       {"2\r\nok\r\n0\r\n\r\n", "1\r\no\r\n01\r\nk\r\n000\r\n\r\n",
        "2;a=b;c=\"d e\"\r\nok\r\n0;e\r\n\r\n",
        "2\r\nok\r\n0\r\nX-A: b\r\nX-B:\r\n\r\n"})
    Forms.push_back(
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n") +
        Body);
  return Forms;
}

} // namespace shallot::test

#endif // SHALLOTSHIFT_TESTS_REPLYFORMS_H
