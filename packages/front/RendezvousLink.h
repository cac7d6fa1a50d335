//===- RendezvousLink.h - Reads and writes the rendezvous -------*- C++ -*-===//
//
// Joins the decisions of Rendezvous (package fleet) to the store and to the
// membership of this daemon. At rest, the daemons of each region together keep
// one call to the store open, which waits for changes.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_FRONT_RENDEZVOUSLINK_H
#define SHALLOTSHIFT_FRONT_RENDEZVOUSLINK_H

#include "front/FrontDaemon.h"
#include "front/RendezvousDocument.h"
#include "shallotshift/fleet.h"
#include "shallotshift/store.h"

#include <algorithm>
#include <string>

namespace shallot {

template <typename Store>
requires StaleReader<Store> && KindWriter<Store>
class RendezvousLink {
public:
  /// \p Kind is the record's kind in the store; empty: there is no record, and
  /// a daemon that knows of no other is alone.
  RendezvousLink(EventLoop &Loop, Store &S, FrontDaemon &D, std::string Kind)
      : Loop(Loop), S(S), D(D), Kind(std::move(Kind)), R(Loop.now()) {
    if (!this->Kind.empty())
      D.fleet().setConfirmedAlone(false);
  }

  /// Call it a few times per second.
  void tick() {
    if (Kind.empty())
      return;
    if (D.view().Number != ViewNumber)
      update();
    Instant Now = Loop.now();
    if (!Reading && R.mustRead(Now))
      read(Now);
    if (!Writing && R.mustWrite(Now))
      write(Now);
  }

private:
  /// How long a watch waits for a change. A connection that has fallen silent
  /// is noticed after about this time.
  static constexpr Duration WatchWait = Seconds(5);

  void update() {
    ViewNumber = D.view().Number;
    R.setView(D.view(), D.fleet().self(), Loop.now());
    D.fleet().setConfirmedAlone(R.confirmedAlone());
  }

  void read(Instant Now) {
    Reading = true;
    R.readStarted(Now);
    if (ReadAt && R.watches())
      S.watchKind(Kind, *ReadAt, WatchWait, [this, Now](const auto &Got) {
        Reading = false;
        changed(Got, Now);
      });
    else
      list(Now);
  }

  void list(Instant Now) {
    auto Done = [this, Now](const Attempt<KindPage> &Got) {
      Reading = false;
      listed(Got, Now);
    };
    if (R.mayBeStale())
      S.listStale(Kind, Done);
    else
      S.list(Kind, {}, Done);
  }

  void listed(const Attempt<KindPage> &Got, Instant Asked) {
    if (!Got)
      return failed(Got.error());
    ReadAt = Got->Revision;
    auto Found = std::ranges::find(Got->Objects, std::string(RendezvousName),
                                   &KindObject::Name);
    Held.reset();
    if (Found != Got->Objects.end())
      Held = *Found;
    apply(Asked);
  }

  void changed(const Attempt<KindChanges> &Got, Instant Asked) {
    if (!Got)
      return failed(Got.error());
    ReadAt = Got->Revision;
    for (const KindChange &C : Got->Changes)
      if (C.Object.Name == RendezvousName) {
        Held.reset();
        if (!C.Removed)
          Held = C.Object;
      }
    apply(Asked);
  }

  /// Passes on the record as it is held.
  void apply(Instant Asked) {
    std::optional<RendezvousRecord> Found;
    if (Held)
      Found = readRendezvous(*Held);
    R.read(Found, Asked, Loop.now());
    D.fleet().setContacts(R.contacts());
    update();
  }

  void failed(const Error &Why) {
    ReadAt.reset();
    R.readFailed(Loop.now());
    logEvent(LogLevel::Info, "rendezvous_unread",
             {{"code", codeLabel(Why.Code)}, {"why", Why.Detail}});
  }

  void write(Instant Now) {
    Writing = true;
    R.writeStarted(Now);
    RendezvousRecord Next = R.proposal(Now);
    StoreRevision If = Held ? Held->Revision : StoreRevision();
    S.writeObject(Kind, std::string(RendezvousName), rendezvousContent(Next),
                  If, [this, Next](const auto &Got) {
                    Writing = false;
                    finishWrite(Next, Got);
                  });
  }

  void finishWrite(const RendezvousRecord &Next,
                   const Attempt<KindWriteReply> &Got) {
    bool Applied = Got && Got->Applied && Got->Now;
    logEvent(LogLevel::Info, "rendezvous_written",
             {{"contacts", std::to_string(Next.Contacts.size())},
              {"applied", Applied ? "yes" : "no"},
              {"why", Got ? "" : Got.error().Detail}});
    Instant Now = Loop.now();
    if (!Got) {
      // It may have been done: only a new look at the record tells.
      R.writeFailed(Now);
      ReadAt.reset();
      return;
    }
    Held = Got->Now;
    if (!Applied)
      return apply(Now);
    R.written(Next, Now);
    update();
  }

  EventLoop &Loop;
  Store &S;
  FrontDaemon &D;
  std::string Kind;
  Rendezvous R;
  std::uint64_t ViewNumber = 0;        ///< Of the view that was applied last.
  std::optional<StoreRevision> ReadAt; ///< To watch on from.
  std::optional<KindObject> Held;      ///< The record, as it was read last.
  bool Reading = false;
  bool Writing = false;
};

} // namespace shallot

#endif // SHALLOTSHIFT_FRONT_RENDEZVOUSLINK_H
