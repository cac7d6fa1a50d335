// A name that another writer chose goes through a URL's query unharmed.
#include "shallotshift/base.h"

#include <doctest/doctest.h>

using namespace shallot;

TEST_CASE("whatever is written is read back") {
  for (std::string Name :
       {"plain-1._~", "a b&c=d", "100% + 1", "\x01\xff/?#"}) {
    std::string Query = "x=1&after=" + percentEncoded(Name) + "&wait_ms=5";
    CHECK(Query.find(' ') == std::string::npos);
    CHECK(queryParameter(Query, "after") == Name);
    CHECK(queryParameter(Query, "wait_ms") == "5");
  }
}

TEST_CASE("an escape that is none stays as it is") {
  CHECK(percentDecoded("%") == "%");
  CHECK(percentDecoded("%4") == "%4");
  CHECK(percentDecoded("%zz+%41") == "%zz A");
  CHECK(percentDecoded("%+1") == "% 1");
}

TEST_CASE("a parameter that is not there is not an empty one") {
  CHECK_FALSE(queryParameter("a=1&bc=2", "b"));
  CHECK_FALSE(queryParameter("b", "b"));
  CHECK(queryParameter("b=", "b") == "");
}
