// Changes for the tests of ChangeWriter, on a store that holds a configuration
// of three groups with the presets ordinary (in force) and peak.
#pragma once

#include "ConfigFixture.h"
#include "FakeObjectStore.h"

namespace shallot::test {

inline ChangeRequest applying(std::string Id, std::vector<OperatorDoc> Docs) {
  ChangeRequest R;
  R.What = change(std::move(Id), "apply");
  R.Edit = [Docs = std::move(Docs)](Draft D) {
    return applyDocuments(std::move(D), Docs);
  };
  return R;
}

/// Sets the slots of one of the upstreams gNN-s00-a.
inline ChangeRequest settingSlots(std::string Id, unsigned Group,
                                  unsigned Slots) {
  UpstreamDoc U = upstreamDoc(fmt::format("group-{:02}", Group),
                              fmt::format("g{:02}-s00", Group),
                              fmt::format("g{:02}-s00-a", Group), Group * 3);
  U.Fields.Slots = Slots;
  return applying(std::move(Id), {U});
}

inline ChangeRequest switching(std::string Id, const std::string &Preset) {
  Change What = change(std::move(Id), "preset use " + Preset);
  return presetSwitch(What, PresetName(Preset));
}

inline unsigned slotsOf(const ConfigPtr &C, unsigned Group) {
  auto Id = UpstreamId(fmt::format("g{:02}-s00-a", Group));
  return (*C->findUpstream(Id))->Slots;
}

/// A store that holds generation 1.
struct Configured {
  FakeObjectStore Store;

  Configured() {
    ChangeRequest R;
    R.What = change("first");
    R.Edit = [](const Draft &) -> Result<Draft> { return draftOfSize(3, 1); };
    auto End = begin(Store, R);
    Store.run();
    REQUIRE(*End);
    REQUIRE(**End);
    Store.HeadSwaps = 0;
    Store.Calls = 0;
  }
};

/// A script that lets the \p Nth head swap meet \p F.
inline FakeObjectStore::Script onHeadSwap(Fault F, unsigned Nth = 1) {
  auto Seen = std::make_shared<unsigned>(0);
  return [F, Nth, Seen](const FakeCall &C) {
    bool Swap = C.IsWrite && C.Path == HeadPath;
    return Swap && ++*Seen == Nth ? F : Fault::None;
  };
}

} // namespace shallot::test
