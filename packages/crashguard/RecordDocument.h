//===- RecordDocument.h - Objects of a kind in one document -----*- C++ -*-===//
//
// Adapts a store of single objects (ObjectStore) to one whose objects of a kind
// can be written individually (KindWriter): all of them are members of one
// document. Meant for a small number of small objects that every daemon reads
// as a whole.
//
//   {"revision": 12,
//    "records": {"319d25e4..": {"revision": 9, "content": {..}}, ..}}
//
// A write needs no read if the document is unchanged since this daemon last saw
// it. If another daemon wrote first, the store reports PlatformConflict; the
// document is then read again, and the write is repeated on top of it if the
// object itself still has the expected revision.
//
// Changes by others arrive by update(), from a watch or a peer. Each newer
// state of the document is passed to the callback of onChange(), possibly
// before the callback of the write that caused it.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_CRASHGUARD_RECORDDOCUMENT_H
#define SHALLOTSHIFT_CRASHGUARD_RECORDDOCUMENT_H

#include "shallotshift/store.h"
#include "shallotshift/telemetry.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace shallot {

/// Path in the store of the records of requests that crash upstreams.
inline constexpr std::string_view RecordsPath = "quarantine/records";

/// The parsed document.
struct RecordSet {
  std::uint64_t Revision = 0; ///< Incremented by each change of the document.
  std::map<std::string, KindObject> Objects;

  friend bool operator==(const RecordSet &, const RecordSet &) = default;
};

/// Parses a document. Fails with MalformedJson, MissingField or WrongType.
Result<RecordSet> parseRecordSet(std::string_view Text);
std::string formatRecordSet(const RecordSet &P);

template <ObjectStore Store> class RecordDocument {
public:
  using ChangeFn = std::function<void(const RecordSet &)>;

  RecordDocument(Store &S, std::string Path) : S(S), Path(std::move(Path)) {}
  RecordDocument(const RecordDocument &) = delete;
  RecordDocument &operator=(const RecordDocument &) = delete;

  const std::string &path() const { return Path; }
  void onChange(ChangeFn Fn) { OnChange = std::move(Fn); }
  /// The last seen store version of the document; 0: none.
  std::uint64_t version() const { return Stored.Version; }
  const StoredObject &stored() const { return Stored; }

  /// Applies the document from a watch or a peer unless it is older.
  void update(const StoredObject &Now) {
    if (Now.Version <= Stored.Version)
      return;
    auto Read = attempt([&] { return parseRecordSet(Now.Value); });
    Stored = Now;
    if (Read) {
      Records = std::move(*Read);
    } else {
      // A malformed document counts as empty; the next write replaces it.
      logEvent(LogLevel::Error, "record_document_unreadable",
               {{"path", Path},
                {"version", std::to_string(Now.Version)},
                {"code", codeLabel(Read.error().Code)},
                {"why", Read.error().Detail}});
      Records = {Records.Revision, {}};
    }
    if (OnChange)
      OnChange(Records);
  }

  /// Reports that an operator removed the document from the store.
  void removed() {
    if (Stored.Version == 0 && Records.Objects.empty())
      return;
    Stored = {};
    Records = {Records.Revision + 1, {}};
    if (OnChange)
      OnChange(Records);
  }

  // The KindWriter interface. There is one kind, so its name is ignored.

  void writeObject(const std::string &, const std::string &Name,
                   nlohmann::json Content, StoreRevision Revision,
                   StoreCallback<KindWriteReply> Done) {
    edit({Name, Revision, std::move(Content), false, std::move(Done)},
         MaxTries);
  }
  void removeObject(const std::string &, const std::string &Name,
                    StoreRevision Revision,
                    StoreCallback<KindWriteReply> Done) {
    edit({Name, Revision, {}, true, std::move(Done)}, MaxTries);
  }

private:
  /// Attempts at a write that conflicts with other daemons' writes; each costs
  /// another call.
  static constexpr int MaxTries = 4;

  struct Edit {
    std::string Name;
    /// Expected revision of the object; number 0: absent.
    StoreRevision Revision;
    nlohmann::json Content;
    bool Removes = false;
    StoreCallback<KindWriteReply> Done;
  };

  template <typename F> auto guarded(F Fn) {
    return [Weak = std::weak_ptr(Alive), Fn = std::move(Fn)](auto &&...Args) {
      if (!Weak.expired())
        Fn(std::forward<decltype(Args)>(Args)...);
    };
  }

  std::optional<KindObject> object(const std::string &Name) const {
    auto At = Records.Objects.find(Name);
    if (At == Records.Objects.end())
      return std::nullopt;
    return At->second;
  }

  bool hasExpectedRevision(const Edit &E) const {
    std::optional<KindObject> Now = object(E.Name);
    return (Now ? Now->Revision : StoreRevision()) == E.Revision;
  }

  RecordSet withEdit(const Edit &E) const {
    RecordSet Next = Records;
    ++Next.Revision;
    if (E.Removes)
      Next.Objects.erase(E.Name);
    else
      Next.Objects[E.Name] = {E.Name, {0, Next.Revision}, E.Content};
    return Next;
  }

  void edit(Edit E, int TriesLeft) {
    // This daemon's state may be outdated, so reread before reporting a
    // conflict.
    if (!hasExpectedRevision(E))
      return rereadAndRetry(std::move(E), TriesLeft);
    std::string Text = formatRecordSet(withEdit(E));
    auto If = Stored.Version == 0 ? Precondition::ifAbsent()
                                  : Precondition::ifVersion(Stored.Version);
    auto Written = guarded([this, E = std::move(E), Text,
                            TriesLeft](const Attempt<std::uint64_t> &Version) {
      if (Version) {
        update({Text, *Version});
        return E.Done(KindWriteReply{true, object(E.Name)});
      }
      if (Version.error().Code == ResultCode::PlatformConflict && TriesLeft > 1)
        return rereadAndRetry(E, TriesLeft);
      E.Done(Version.error());
    });
    S.write(Path, Text, If, std::move(Written));
  }

  /// Reads the document and retries \p E if its object has the expected
  /// revision.
  void rereadAndRetry(Edit E, int TriesLeft) {
    auto Read = guarded([this, E = std::move(E),
                         TriesLeft](const Attempt<StoredObject> &Now) {
      bool Absent = !Now && Now.error().Code == ResultCode::PlatformNotFound;
      if (!Now && !Absent)
        return E.Done(Now.error());
      if (Now)
        update(*Now);
      else
        removed();
      if (hasExpectedRevision(E) && TriesLeft > 1)
        return edit(E, TriesLeft - 1);
      E.Done(KindWriteReply{false, object(E.Name)});
    });
    S.read(Path, std::move(Read));
  }

  Store &S;
  std::string Path;
  ChangeFn OnChange;
  StoredObject Stored;
  RecordSet Records;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace shallot

#endif // SHALLOTSHIFT_CRASHGUARD_RECORDDOCUMENT_H
