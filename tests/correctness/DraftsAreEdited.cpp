// The effect of operators' documents on a configuration, and the objects of the
// platform that a change rewrites.
#include "ConfigFixture.h"

using namespace shallot;
using namespace shallot::test;

TEST_CASE("the first preset takes effect, later ones only on request") {
  Draft D =
      good([&] { return applyDocuments(Draft{}, {presetFields("ordinary")}); });
  CHECK(D.PresetInForce.str() == "ordinary");
  D = good([&] { return applyDocuments(D, {presetFields("a-peak")}); });
  CHECK(D.PresetInForce.str() == "ordinary");
  D = good([&] { return withPresetInForce(D, PresetName("a-peak")); });
  CHECK(D.PresetInForce.str() == "a-peak");
}

TEST_CASE("an upstream may precede its service in a file") {
  Draft D = good([&] {
    return applyDocuments(Draft{}, {upstreamDoc("g", "s", "u", 1),
                                    presetFields("p"), serviceDoc("g", "s")});
  });
  ConfigPtr C = configOf(D);
  ServiceRef Where;
  REQUIRE(C->findUpstream(UpstreamId("u"), &Where));
  CHECK(Where.Svc == C->find(Tenant("khan-uul"), ServiceName("s")).Svc);
  CHECK(C->hasTenant(Tenant("khan-uul")));
  CHECK_FALSE(C->hasTenant(Tenant("banlangd")));
}

TEST_CASE("changing a service's books keeps its upstreams") {
  Draft D = draftOfSize(1, 1);
  ServiceDoc Doc = serviceDoc("group-00", "g00-s00");
  Doc.Books = {"new"};
  D = good([&] { return applyDocuments(D, {Doc}); });
  const Service &S = D.Groups[0]->Services[0];
  CHECK(S->Books == std::vector<std::string>{"new"});
  CHECK(S->Upstreams.size() == 3);
}

TEST_CASE("an object in use cannot be removed") {
  Draft D = draftOfSize(1, 1);
  auto CodeOf = [&](const char *Path) {
    return bad([&] { return removeObject(D, Path); }).Code;
  };
  CHECK(CodeOf("preset/ordinary") == ResultCode::StillReferenced);
  CHECK(CodeOf("service/khan-uul/group-00/g00-s00") ==
        ResultCode::StillReferenced);
  CHECK(CodeOf("preset/none") == ResultCode::UnknownObject);
  CHECK(CodeOf("service/khan-uul/group-00") == ResultCode::UnknownObject);
  CHECK(CodeOf("daemon/x") == ResultCode::UnknownKind);
  CHECK(CodeOf("") == ResultCode::UnknownKind);
}

TEST_CASE("a group without services is removed") {
  Draft D = draftOfSize(2, 1);
  for (const char *Path :
       {"upstream/g01-s00-a", "upstream/g01-s00-b", "upstream/g01-s00-c",
        "service/khan-uul/group-01/g01-s00"})
    D = good([&] { return removeObject(D, Path); });
  CHECK(D == draftOfSize(1, 1));
}

TEST_CASE("differences list the changes of each object") {
  Draft Old = draftOfSize(1, 1);
  UpstreamDoc U = upstreamDoc("group-00", "g00-s00", "g00-s00-a", 0);
  U.Fields.Slots = 3;
  PresetFields P = presetFields("peak");
  P.Classes[CallerClass("reception-desk")].QueueLimit = 9;
  Draft New = good([&] { return applyDocuments(Old, {U, P}); });
  New = good([&] { return removeObject(New, "upstream/g00-s00-b"); });
  New = good([&] { return withPresetInForce(New, PresetName("peak")); });
  CHECK(differences(Old, New) ==
        std::vector<std::string>{
            "preset-in-force: name \"ordinary\" -> \"peak\"",
            "preset peak: classes.reception-desk.queue_limit 64 -> 9",
            "upstream g00-s00-a: slots 2 -> 3", "upstream g00-s00-b: removed"});
  CHECK(differences(New, New).empty());
  CHECK(changedObjects(Old, New).contains("upstream/g00-s00-b"));
}

TEST_CASE("a change rewrites only the group that it modifies") {
  ConfigPtr Before = configOf(draftOfSize(5, 2));
  UpstreamDoc U = upstreamDoc("group-03", "g03-s01", "g03-s01-b", 0);
  U.Fields.Leaving = true;
  Draft D = good([&] { return applyDocuments(draftOf(*Before), {U}); });
  PreparedChange P = good([&] { return prepare(Before, D, change("c2")); });
  CHECK(P.NewBlobs.size() == 1);
  CHECK(P.After->generation() == Before->generation() + 1);
  CHECK(P.After->head().find(ChangeId("c2"))->Generation == 2);
  CHECK(P.After->findUpstream(UpstreamId("g03-s01-b"))->operator->()->Leaving);
}

TEST_CASE("the head discards its oldest changes") {
  ConfigPtr C = configOf(draftOfSize(1, 1));
  for (unsigned N = 0; N < MaxRecentChanges; ++N)
    C = good([&] {
          return prepare(C, draftOf(*C), change(fmt::format("n{}", N)));
        }).After;
  CHECK(C->head()->Recent.size() == MaxRecentChanges);
  CHECK_FALSE(C->head().find(ChangeId("first")));
  CHECK(C->head().find(ChangeId("n0")));
}
