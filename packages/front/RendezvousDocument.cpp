//===- RendezvousDocument.cpp ---------------------------------------------===//
#include "front/RendezvousDocument.h"

#include "shallotshift/model.h"
#include "shallotshift/telemetry.h"

namespace shallot {

namespace {

using Json = nlohmann::json;

Result<ListedHost> readContact(const Json &Item) {
  BOOST_LEAF_AUTO(F, JsonFields::open(Item, "contact"));
  ListedHost H;
  BOOST_LEAF_AUTO(Host, F.string("host"));
  BOOST_LEAF_AUTO(Gossip, F.string("gossip"));
  BOOST_LEAF_AUTO(Zone, F.string("zone"));
  H.Host = HostId(Host);
  BOOST_LEAF_ASSIGN(H.Gossip, Endpoint::parse(Gossip, "gossip"));
  H.Zone = AvailabilityZone(Zone);
  return H;
}

void logUnreadable(const KindObject &O, const Error &Why) {
  logEvent(LogLevel::Warn, "rendezvous_unreadable",
           {{"revision", O.Revision.str()},
            {"code", codeLabel(Why.Code)},
            {"why", Why.Detail}});
}

Result<RendezvousRecord> parse(const KindObject &O) {
  BOOST_LEAF_AUTO(F, JsonFields::open(O.Content, "rendezvous"));
  RendezvousRecord R;
  BOOST_LEAF_AUTO(Writer, F.string("writer"));
  BOOST_LEAF_ASSIGN(R.Writer, DaemonId::parse(Writer));
  BOOST_LEAF_ASSIGN(R.Number, F.integer("number", 0, UINT64_MAX));
  BOOST_LEAF_AUTO(Contacts, F.array("contacts"));
  for (const Json &Item : *Contacts) {
    auto H = attempt([&] { return readContact(Item); });
    if (!H)
      logUnreadable(O, H.error());
    else if (R.Contacts.size() < MaxContacts)
      R.Contacts.push_back(std::move(*H));
  }
  return R;
}

} // namespace

Json rendezvousContent(const RendezvousRecord &R) {
  Json Contacts = Json::array();
  for (const ListedHost &H : R.Contacts)
    Contacts.push_back({{"host", H.Host.str()},
                        {"gossip", H.Gossip.str()},
                        {"zone", H.Zone.str()}});
  return {{"writer", R.Writer.str()},
          {"number", R.Number},
          {"contacts", std::move(Contacts)}};
}

std::optional<RendezvousRecord> readRendezvous(const KindObject &O) {
  auto R = attempt([&] { return parse(O); });
  if (R)
    return std::move(*R);
  logUnreadable(O, R.error());
  return std::nullopt;
}

} // namespace shallot
