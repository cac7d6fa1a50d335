// Selection of an upstream by load, zone, shedding, draining and ejection.
#include "correctness/QueryFixture.h"

#include <doctest/doctest.h>
#include <map>

using namespace shallot;

namespace {

struct Picks {
  ConfigPtr C = makeConfig({1, 3});
  Daemon D{11};
  const Service &Svc = *C->find(Tenant("khan"), ServiceName("s0")).Svc;

  std::map<UpstreamId, unsigned> count(Instant Now,
                                       const PickConstraints &Constraints) {
    std::map<UpstreamId, unsigned> N;
    for (int I = 0; I < 1000; ++I)
      if (auto P = D.Replicas.pick(Svc, Constraints, Now))
        ++N[(*P->Target)->Id];
    return N;
  }
};

const UpstreamId U0("s0-u0");
const UpstreamId U1("s0-u1");
const UpstreamId U2("s0-u2");

} // namespace

TEST_CASE("the local zone is preferred until it is clearly slower") {
  Picks P;
  P.D.teach(*P.C, {{41, 7}}, at(0));
  PickConstraints Constraints;
  Constraints.Near = AvailabilityZone("z1");
  CHECK(P.count(at(1), Constraints)[U1] == 1000);
  P.D.Replicas.onSent(U1, at(1));
  CHECK(P.count(at(1), Constraints)[U1] == 0);
}

TEST_CASE("an upstream with late replies is avoided before it is ejected") {
  Picks P;
  P.D.teach(*P.C, {{41, 7}}, at(0));
  for (const UpstreamId &Id : {U0, U1, U2})
    P.D.Replicas.onSent(Id, at(1));
  SubReply R = okReply({41, 7});
  for (const UpstreamId &Id : {U1, U2}) {
    P.D.Replicas.onSent(Id, at(30));
    P.D.Replicas.onReply(Id, at(30), R, at(35));
  }
  CHECK(P.count(at(36), {})[U0] == 0);
}

TEST_CASE("ejection respects its maximum share and keeps the last upstream") {
  Picks P;
  SubReply Failed = failure(ResultCode::ConnectFailed);
  for (const UpstreamId &Id : {U0, U1, U2})
    for (int I = 0; I < 3; ++I) {
      P.D.Replicas.onSent(Id, at(I));
      P.D.Replicas.onReply(Id, at(I), Failed, at(I));
    }
  for (const ReplicaStatus &S : P.D.Replicas.all(at(5)))
    CHECK(S.Ejected);
  CHECK(P.count(at(5), {}).size() == 2);
  PickConstraints Last;
  std::vector<UpstreamId> Tried{U0, U1};
  Last.Exclude = Tried;
  CHECK(P.count(at(5), Last)[U2] == 1000);
}

TEST_CASE("an upstream that shed load gets less work and recovers gradually") {
  Picks P;
  P.D.teach(*P.C, {{41, 7}}, at(0));
  P.D.Replicas.onSent(U0, at(1));
  P.D.Replicas.onReply(U0, at(1), failure(ResultCode::UpstreamShed), at(1));
  unsigned Soon = P.count(at(500), {})[U0];
  unsigned Later = P.count(at(6000), {})[U0];
  unsigned Whole = P.count(at(60000), {})[U0];
  CHECK(Soon < Later);
  CHECK(Later < Whole);
}

TEST_CASE("a draining upstream gets no work until it reports otherwise") {
  Picks P;
  SubReply Leaving = okReply({41, 7});
  Leaving.Draining = true;
  P.D.Replicas.onSent(U0, at(0));
  P.D.Replicas.onReply(U0, at(0), Leaving, at(1));
  CHECK(P.count(at(2), {})[U0] == 0);
  CHECK(P.count(at(30000), {})[U0] == 0);
  P.D.Replicas.onReport(U0, 0, false, at(30001));
  CHECK(P.count(at(30002), {})[U0] > 0);
}
