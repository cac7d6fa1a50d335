//===- LoadRun.h - Callers that send and judge ------------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_STANDINS_LOADRUN_H
#define SHALLOTSHIFT_STANDINS_LOADRUN_H

#include "standins/AnswerCheck.h"
#include "standins/LoadFigures.h"
#include "standins/LoadOptions.h"
#include "standins/WireClient.h"

#include <asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <set>

namespace shallot::standins {

class LoadRun {
public:
  LoadRun(asio::io_context &Io, LoadOptions O, Catalogue Known);

  /// Sends for the time that was asked, waits for the last answer, asks the
  /// upstreams what they saw, then calls \p Done.
  void start(std::function<void()> Done);
  LoadFigures &figures() { return Figures; }

private:
  using Clock = std::chrono::steady_clock;

  /// One caller: its key decides which addresses it is given.
  struct Caller {
    std::string Key;
    std::vector<Endpoint> Addresses;
    Clock::time_point ValidUntil{};
    bool Asking = false;
  };

  /// One request, from the moment it was due.
  struct Pending {
    bool Action = false;
    std::string Id;
    std::string Query;
    std::string Body;
    std::size_t From = 0; ///< Which caller.
    std::size_t Try = 0;  ///< Which of its addresses.
    std::string Key;      ///< Of an action; empty until it is minted.
    unsigned Again = 0;   ///< How often an action was asked for again.
    Clock::time_point Due;
  };
  using PendingPtr = std::shared_ptr<Pending>;

  void refresh(std::size_t Which, std::size_t Try,
               const std::function<void()> &Then);
  void schedule(bool Action, double Rate, Clock::time_point Last);
  void launch(bool Action, Clock::time_point Due);
  PendingPtr make(bool Action, Clock::time_point Due);
  void send(const PendingPtr &P);
  void mint(const PendingPtr &P);
  bool mayAskAgain(const PendingPtr &P, const WireAnswer &A) const;
  void askAgain(const PendingPtr &P);
  void onAnswer(const PendingPtr &P, const WireAnswer &A);
  void judge(const PendingPtr &P, const WireAnswer &A);
  void judgeSearch(const PendingPtr &P, const Json &Body);
  void judgeProblem(const PendingPtr &P, const Json &Body);
  void finishOne();
  void askUpstreams();
  void judgeActions(const Json &Ran);

  asio::io_context &Io;
  LoadOptions O;
  Catalogue Known;
  std::vector<std::string> Services;
  WireClient Client;
  Random Rng;
  std::vector<Caller> Callers;
  LoadFigures Figures;
  std::function<void()> Done;
  Clock::time_point SendUntil;
  std::uint64_t Number = 0;
  std::size_t UnderWay = 0;
  unsigned Chains = 0; ///< Of arrivals, that still send.
  std::set<std::string> NotRunIds;
  std::set<std::string> RanKeys;
  std::set<std::string> SentKeys;
  std::map<std::string, unsigned> RanCounts; ///< By key, as upstreams say.
  std::size_t Questions = 0;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_LOADRUN_H
