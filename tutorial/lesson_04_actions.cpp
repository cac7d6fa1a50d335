// Lesson 4: an action runs at most once.
//
// A coach reserves a lane. The reply may be lost, so the coach's program sends
// the same request again, perhaps to another daemon. ActionRegistry makes sure
// that the upstream sees it once, and that "not run" is said only when it is
// proven.
//
// We play everything round the desks ourselves: the upstream, the messages
// between daemons, and the loss of one of them.
#include "Lesson.h"

#include "shallotshift/action.h"

#include <map>

using namespace shallot;
using namespace shallot::action;
using namespace shallot::tutorial;

namespace {

DaemonId daemon(const char *Host) { return {HostId(Host), 1}; }

ActionRequest reservation(const ActionKey &Key) {
  ActionRequest R;
  R.Owner = Tenant("banlangd");
  R.Class = CallerClass("coach");
  R.Service = ServiceName("club-desk");
  R.Key = Key.str();
  R.Body = R"({"lane":4,"block":"tuesday-18"})";
  R.Digest = actionDigest(R.Service, R.Body);
  R.Remaining = Seconds(5);
  return R;
}

// One daemon: its desk, its picture of the fleet, its orders and answers.
struct Entry {
  ActionRegistry Desk;
  FleetView Fleet;
  std::vector<Order> Orders;
  std::map<RunId, ActionOutcome> Answers;

  explicit Entry(const char *Host) : Desk(daemon(Host), Random(7)) {
    for (const char *Name : {"entry-1", "entry-2", "entry-3"})
      Fleet.Members.push_back({.Id = daemon(Name),
                               .Zone = AvailabilityZone(Name),
                               .State = MemberState::Alive});
  }
  static Clocks now() { return {Instant() + Seconds(100), 1'100'000}; }

  RunId begin(const ActionRequest &R) {
    RunId Id = Desk.begin(R, ActionOrigin::Caller, Fleet, now());
    collect();
    return Id;
  }
  void reply(const Order &O, const Event &E) {
    Desk.on(O.Run, O.Step, E, Fleet, now());
    collect();
  }
  void lose(const char *Host) {
    for (Member &M : Fleet.Members)
      if (M.Id == daemon(Host))
        M.State = MemberState::Failed;
    Desk.onFleet(Fleet, now());
    collect();
  }
  // The next order if it is of kind T.
  template <typename T> std::optional<Order> next() {
    if (Orders.empty() || !std::holds_alternative<T>(Orders.front().What))
      return std::nullopt;
    Order O = Orders.front();
    Orders.erase(Orders.begin());
    return O;
  }
  // The next order, which has to be of kind T for the lesson to make sense.
  template <typename T> Order expect() {
    std::optional<Order> O = next<T>();
    if (!O) {
      fmt::print("!! the desk did not give the order that comes next here\n");
      std::exit(EXIT_FAILURE);
    }
    return *O;
  }

private:
  void collect() {
    for (Order &O : Desk.take()) {
      if (auto *F = std::get_if<Finish>(&O.What))
        Answers[O.Run] = F->Outcome;
      else
        Orders.push_back(std::move(O));
    }
  }
};

// entry-1 mints the key and alone may run it; entry-2 is the witness that has
// to know beforehand; the coach asks again at entry-3.
struct Three {
  Entry Minter{"entry-1"}, Witness{"entry-2"}, Other{"entry-3"};
  ActionKey Key = mint();

  ActionKey mint() {
    for (;;) { // The witness is drawn; go on until it is entry-2.
      ActionKey K =
          Minter.Desk.mint(Minter.Fleet, DefaultKeyValidity, Entry::now());
      if (K.witness() == daemon("entry-2"))
        return K;
    }
  }
  // Carries the minter's intent to the witness and the answer back.
  void witnessed() {
    Order O = Minter.expect<SendIntent>();
    IntentAnswer A = Witness.Desk.onIntent(std::get<SendIntent>(O.What).Message,
                                           Entry::now());
    Minter.reply(O, IntentResult{A});
  }
  // entry-3 thinks that entry-1 is gone and gets the same request.
  ActionOutcome askedAgainAtOther() {
    Other.lose("entry-1");
    RunId Id = Other.begin(reservation(Key));
    Order O = Other.expect<AskFence>();
    FenceAnswer A =
        Witness.Desk.onFence(std::get<AskFence>(O.What).Message, Entry::now());
    Other.reply(O, FenceResult{A});
    return Other.Answers.at(Id);
  }
};

std::string told(const ActionOutcome &O) {
  return fmt::format("   the coach is told {}: {}", codeLabel(O.Code),
                     infoOf(O.Code).Text);
}

void sameKeyTwice(Lesson &L) {
  Lesson::part("the same key twice");
  Three T;
  fmt::print("   {}\n", T.Key.str());
  RunId First = T.Minter.begin(reservation(T.Key));
  L.claim(!T.Minter.next<SendToUpstream>(),
          "The upstream sees nothing before the witness knows.");
  T.witnessed();
  Order Send = T.Minter.expect<SendToUpstream>();
  // The coach's program has waited long enough and sends it again, while the
  // first is still on its way.
  RunId Second = T.Minter.begin(reservation(T.Key));
  L.claim(!T.Minter.next<SendToUpstream>(), "The second is not sent.");
  T.Minter.reply(Send, UpstreamResult{ResultCode::Ok, 200, R"({"booked":1})"});
  // The witness is told before the coach is: if the minter is lost after its
  // answer, another daemon still knows the outcome.
  L.claim(!T.Minter.Answers.contains(First),
          "The coach is answered once the witness has been told.");
  T.Minter.reply(T.Minter.expect<SendOutcome>(), OutcomeResult{true});
  fmt::print("{}\n{}\n", told(T.Minter.Answers[First]),
             told(T.Minter.Answers[Second]));
  L.claim(T.Minter.Answers[First].Code == ResultCode::Ok &&
              !T.Minter.Answers[First].Replayed,
          "The first ran.");
  L.claim(T.Minter.Answers[Second].Replayed &&
              T.Minter.Answers[Second].Body == T.Minter.Answers[First].Body,
          "The second got the result of the first.");
}

void lostBeforeIntent(Lesson &L) {
  Lesson::part("the minter is lost before its witness knew");
  Three T;
  T.Minter.begin(reservation(T.Key));
  Order Late = T.Minter.expect<SendIntent>(); // It does not arrive now.
  ActionOutcome O = T.askedAgainAtOther();
  fmt::print("{}\n", told(O));
  L.claim(O.Code == ResultCode::ProvenNotRun,
          "It did not run and never will: the coach may take a new key.");
  // What if entry-1 was only paused? It wakes, and its intent arrives late. The
  // witness has told somebody "not run", so it refuses.
  IntentAnswer A = T.Witness.Desk.onIntent(
      std::get<SendIntent>(Late.What).Message, Entry::now());
  T.Minter.reply(Late, IntentResult{A});
  L.claim(A == IntentAnswer::Fenced && !T.Minter.next<SendToUpstream>(),
          "A minter that was only paused wakes, is refused and sends nothing.");
}

void lostAfterIntent(Lesson &L) {
  Lesson::part("the minter is lost after its witness knew");
  Three T;
  T.Minter.begin(reservation(T.Key));
  T.witnessed();
  // From here on the upstream may have seen it. Nobody can prove otherwise, so
  // nobody says so.
  ActionOutcome O = T.askedAgainAtOther();
  fmt::print("{}\n", told(O));
  L.claim(O.Code == ResultCode::OutcomeUnknown,
          "It is unknown, and said so: the coach has to look at the desk.");
  L.claim(!T.Other.next<SendToUpstream>(), "It is not run a second time.");
}

void lostAfterOutcome(Lesson &L) {
  Lesson::part("the minter is lost after the outcome reached its witness");
  Three T;
  T.Minter.begin(reservation(T.Key));
  T.witnessed();
  Order Send = T.Minter.expect<SendToUpstream>();
  T.Minter.reply(Send, UpstreamResult{ResultCode::Ok, 200, R"({"booked":1})"});
  Order Stored = T.Minter.expect<SendOutcome>();
  T.Witness.Desk.onOutcome(std::get<SendOutcome>(Stored.What).Message,
                           Entry::now());
  ActionOutcome O = T.askedAgainAtOther();
  fmt::print("{}\n", told(O));
  L.claim(O.Code == ResultCode::AlreadyRan && O.Body == R"({"booked":1})",
          "The coach gets the reservation that was made.");
}

} // namespace

int main() {
  Lesson L;
  sameKeyTwice(L);
  lostBeforeIntent(L);
  lostAfterIntent(L);
  lostAfterOutcome(L);
  return L.end();
}
