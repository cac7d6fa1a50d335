// Without organisations, Admission decides exactly as one queue for each class
// does, at random loads with bursts, cancellations and changed classes.
#include "SingleQueueAdmission.h"

#include <doctest/doctest.h>
#include <vector>

using namespace shallot;
using namespace shallot::fixture;

namespace {

ClassPolicies threeClasses(unsigned QueueLimit) {
  ClassPolicies P;
  for (unsigned I = 0; I < 3; ++I) {
    ClassPolicy &C = P[CallerClass("class-" + std::to_string(I))];
    C.Priority = I;
    C.QueueLimit = QueueLimit << I;
    C.QueueWait = Millis(20 << I);
  }
  return P;
}

/// Offers the same to both and requires equal decisions.
class Twins {
public:
  explicit Twins(unsigned QueueLimit)
      : A(threeClasses(QueueLimit), Millis(18)),
        B(threeClasses(QueueLimit), Millis(18)) {}

  void offer(const AdmissionRequest &R, Instant Now) {
    AdmissionDecision D = A.offer(R, Now);
    REQUIRE(D == B.offer(R, Now));
    if (D.What == AdmissionAction::Start)
      Running.push_back(R.Id);
    else if (D.What == AdmissionAction::Wait)
      Waiting.push_back(R.Id);
    ++Decisions[static_cast<std::size_t>(D.What)];
  }
  void poll(Instant Now) {
    AdmissionEvents E = A.poll(Now);
    REQUIRE(E == B.poll(Now));
    for (const AdmissionEvent &One : E) {
      std::erase(Waiting, One.Id);
      if (One.Final.What == AdmissionAction::Start)
        Running.push_back(One.Id);
    }
    REQUIRE(A.nextExpiry() == B.nextExpiry());
  }
  void done(std::size_t Index, const LoadSample &S, Instant Now) {
    A.done(Running[Index], S, Now);
    B.done(Running[Index], S, Now);
    Running.erase(Running.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  void cancel(std::vector<TicketId> &From, std::size_t Index) {
    REQUIRE(A.cancel(From[Index]));
    REQUIRE(B.cancel(From[Index]));
    From.erase(From.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  void setClasses(const ClassPolicies &P) {
    A.setClasses(P, Millis(18));
    B.setClasses(P, Millis(18));
  }

  Admission A;
  SingleQueueAdmission B;
  std::vector<TicketId> Running;
  std::vector<TicketId> Waiting;
  unsigned Decisions[3] = {};
};

} // namespace

TEST_CASE("without organisations decisions are those of one queue") {
  unsigned Decisions[3] = {};
  for (std::uint64_t Seed = 1; Seed <= 40; ++Seed) {
    Random Rng(Seed);
    Twins T(4 + static_cast<unsigned>(below(Rng, 12)));
    Instant Now;
    TicketId Last = 0;
    for (int Step = 0; Step < 4000; ++Step) {
      bool Burst = Step / 500 % 2 == 1;
      Now += Micros(below(Rng, Burst ? 3000 : 12000));
      std::uint64_t What = below(Rng, 20);
      if (What == 0 && !T.Waiting.empty()) {
        T.cancel(T.Waiting, below(Rng, T.Waiting.size()));
      } else if (What == 1 && !T.Running.empty()) {
        T.cancel(T.Running, below(Rng, T.Running.size()));
      } else if (What < 9 && !T.Running.empty()) {
        LoadSample S;
        S.Latency = Millis(5 + below(Rng, 60));
        S.Queued = Millis(below(Rng, Burst ? 40 : 20));
        S.Overloaded = below(Rng, 20) == 0;
        S.ExtraSends = below(Rng, 3) == 0 ? 0.5 : 0;
        T.done(below(Rng, T.Running.size()), S, Now);
      } else {
        AdmissionRequest R;
        R.Id = ++Last;
        R.Class = CallerClass("class-" + std::to_string(below(Rng, 3)));
        R.Deadline = Now + Millis(below(Rng, 400));
        R.Claim.Cost = 1 + static_cast<double>(below(Rng, 60)) / 7;
        T.offer(R, Now);
      }
      if (Step % 1300 == 1299) {
        ClassPolicies P = threeClasses(8);
        if (below(Rng, 2) == 0)
          P.erase(CallerClass("class-1"));
        T.setClasses(P);
      }
      T.poll(Now);
    }
    for (int I = 0; I < 3; ++I)
      Decisions[I] += T.Decisions[I];
  }
  for (unsigned Count : Decisions)
    CHECK(Count > 5000);
}
