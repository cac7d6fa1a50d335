// Guards against a start that ends because something is away for a moment.
#include "NetFixture.h"

#include <stdexcept>

using namespace shallot;

namespace {

struct StartFixture : NetFixture {
  /// Starts with the outcomes of \p Codes in turn, then succeeds.
  void start(const std::vector<ResultCode> &Codes, Duration Limit) {
    Retry.emplace(Loop, "a test", [this, Codes]() -> Result<void> {
      if (Tries++ < Codes.size())
        return fail(Codes[Tries - 1], "away");
      return {};
    });
    Retry->limitTo(Limit, [this](const Error &E) { Failed = E.Code; });
    Retry->start();
  }

  std::optional<StartRetry> Retry;
  std::size_t Tries = 0;
  ResultCode Failed = ResultCode::Ok;
};

} // namespace

TEST_CASE_FIXTURE(StartFixture, "a start goes on when all is there") {
  start({ResultCode::SettingsUnreadable, ResultCode::MalformedJson,
         ResultCode::AddressInUse},
        Seconds(60));
  CHECK_FALSE(Retry->done());
  runFor(Millis(400));
  CHECK(Retry->done());
  CHECK(Tries == 4);
  CHECK(Failed == ResultCode::Ok);
}

TEST_CASE_FIXTURE(StartFixture, "a wrong setting fails a start at once") {
  start({ResultCode::OutOfRange}, Seconds(60));
  runFor(Millis(200));
  CHECK(Tries == 1);
  CHECK(Failed == ResultCode::OutOfRange);
}

TEST_CASE_FIXTURE(StartFixture, "a start does not wait for ever") {
  start(std::vector(100, ResultCode::AddressInUse), Millis(200));
  runFor(Millis(600));
  CHECK(Failed == ResultCode::AddressInUse);
  std::size_t TriesThen = Tries;
  runFor(Millis(200));
  CHECK(Tries == TriesThen);
}

TEST_CASE_FIXTURE(StartFixture, "a fault of the program fails a start") {
  Retry.emplace(Loop, "a test", []() -> Result<void> {
    throw std::runtime_error("no entropy");
  });
  std::string Why;
  Retry->limitTo(Seconds(60), [&](const Error &E) {
    Failed = E.Code;
    Why = E.Detail;
  });
  Retry->start();
  CHECK(Failed == ResultCode::Internal);
  CHECK(Why == "no entropy");
}

TEST_CASE_FIXTURE(StartFixture, "a start that is given up tries no more") {
  start(std::vector(100, ResultCode::AddressInUse), Seconds(60));
  Retry->cancel();
  runFor(Millis(200));
  CHECK(Tries == 1);
}
