//===- DeploymentStandin.cpp - The users' platform in one process ---------===//
//
// deployment-standin --listen 127.0.1.200:7300 --config FILE
//
// FILE is {"store": "IP:PORT", "replicas": [..]}: the address of the metadata
// store and the replicas (RegisteredReplica.h), each on an address of its own.
// The configuration is written into the store by whoever plays the operator.
// The address after --listen is for tests:
//   GET  /control/arrivals?since=N  the lines of the ArrivalLog from N on
//   GET  /control/counts            calls to the store, lines of the log
//   POST /control/store             an order for the store (KindService)
//   POST /control/replicas          {"replica": ID, ..} (RegisteredReplica)
//
//===----------------------------------------------------------------------===//
#include "standins/RegisteredReplica.h"
#include "standins/StandinMain.h"

#include <fmt/format.h>

using namespace shallot;
using namespace shallot::standins;

namespace {

class Deployment {
public:
  Deployment(asio::io_context &Io, const Endpoint &StoreAt)
      : Io(Io), Store(Io, StoreAt) {}

  Result<void> start(const Json &List) {
    BOOST_LEAF_CHECK(Store.listen());
    for (const Json &Item : List) {
      BOOST_LEAF_AUTO(Shape, readReplicaShape(Item));
      Replicas.push_back(
          std::make_unique<RegisteredReplica>(Io, Store, Log, Shape));
      BOOST_LEAF_CHECK(Replicas.back()->listen());
      Replicas.back()->announce("ready");
    }
    return {};
  }

  Result<Json> answer(const WireRequest &R) {
    if (R.Path == "/control/arrivals")
      return Log.since(R.parameterNumber("since", 0));
    if (R.Path == "/control/counts")
      return Json{{"store_calls", Store.calls()}, {"arrivals", Log.size()}};
    BOOST_LEAF_AUTO(Orders, parseJson(R.Body));
    if (R.Path == "/control/store") {
      BOOST_LEAF_CHECK(Store.control(Orders));
    } else if (R.Path == "/control/replicas") {
      BOOST_LEAF_CHECK(orderReplica(Orders));
    } else {
      return fail(ResultCode::UnknownPath, R.Path);
    }
    return Json::object();
  }

private:
  Result<void> orderReplica(const Json &Orders) {
    std::string Id;
    BOOST_LEAF_CHECK(readField(Orders, "replica", Id));
    for (auto &R : Replicas)
      if (R->id() == Id)
        return R->control(Orders);
    return fail(ResultCode::UnknownObject, "replica: '" + Id + "'");
  }

  asio::io_context &Io;
  KindService Store;
  ArrivalLog Log;
  std::vector<std::unique_ptr<RegisteredReplica>> Replicas;
};

void onControl(Deployment &D, const WireConnectionPtr &C,
               const WireRequest &R) {
  WireReply Reply;
  auto Got = attempt([&] { return D.answer(R); });
  if (Got) {
    Reply.Body = Got->dump();
  } else {
    Reply.Status = infoOf(Got.error().Code).HttpStatus;
    Reply.Body = Json{{"code", codeLabel(Got.error().Code)},
                      {"detail", Got.error().Detail}}
                     .dump();
  }
  C->reply(Reply);
}

Result<void> serve(const StandinOptions &O) {
  BOOST_LEAF_AUTO(At, Endpoint::parse(O.Listen, "--listen"));
  BOOST_LEAF_AUTO(Doc, readJsonFile(O.File));
  BOOST_LEAF_CHECK(checkFields(Doc, {"store", "replicas"}));
  std::string StoreText;
  BOOST_LEAF_CHECK(readField(Doc, "store", StoreText));
  BOOST_LEAF_AUTO(StoreAt, Endpoint::parse(StoreText, "store"));
  asio::io_context Io;
  Deployment D(Io, StoreAt);
  BOOST_LEAF_CHECK(D.start(Doc["replicas"]));
  WireServer Control(
      Io, At,
      {.OnOpen = [] { return true; },
       .OnRequest = [&](const WireConnectionPtr &C,
                        const WireRequest &R) { onControl(D, C, R); },
       .OnClose = [](const WireConnectionPtr &) {}});
  BOOST_LEAF_CHECK(Control.listen());
  fmt::print(stderr, "deployment-standin: listening on {}\n", At.str());
  runUntilSignal(Io);
  return {};
}

} // namespace

int main(int Argc, char **Argv) {
  return standinMain(Argc, Argv, "config", serve);
}
