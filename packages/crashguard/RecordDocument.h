//===- RecordDocument.h - Objects of a kind in one object -------*- C++ -*-===//
//
// A store of single objects (ObjectStore) as one whose objects of a kind can be
// written one by one (KindWriter): all of them are members of one document. It
// is for few and small objects that every daemon reads whole.
//
//   {"revision": 12,
//    "records": {"319d25e4..": {"revision": 9, "content": {..}}, ..}}
//
// A write reads nothing when the document is as this daemon last saw it. Where
// another daemon was first, the store says so (PlatformConflict); the document
// is then read again, and the write is made on top of it if the object itself
// is still as it was expected to be.
//
// What others wrote comes by take(), from a watch or a peer. Each state of the
// document that is newer than the one before goes to OnNews, which may be
// called before a write's own callback.
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

/// Where the records of requests that crash upstreams are in the store.
inline constexpr std::string_view RecordsPath = "quarantine/records";

/// The document, read.
struct RecordSet {
  std::uint64_t Revision = 0; ///< Counts the changes of the document.
  std::map<std::string, KindObject> Objects;

  friend bool operator==(const RecordSet &, const RecordSet &) = default;
};

/// Reads the text of a document. Fails with MalformedJson, MissingField or
/// WrongType.
Result<RecordSet> parseRecordSet(std::string_view Text);
std::string formatRecordSet(const RecordSet &P);

template <ObjectStore Store> class RecordDocument {
public:
  using ChangeFn = std::function<void(const RecordSet &)>;

  RecordDocument(Store &S, std::string Path) : S(S), Path(std::move(Path)) {}
  RecordDocument(const RecordDocument &) = delete;
  RecordDocument &operator=(const RecordDocument &) = delete;

  const std::string &path() const { return Path; }
  void onChange(ChangeFn Fn) { OnNews = std::move(Fn); }
  /// The store's version of the document as last seen; 0: none was seen.
  std::uint64_t version() const { return Known.Version; }
  const StoredObject &stored() const { return Known; }

  /// The document as a watch or a peer gave it; an older one is ignored.
  void update(const StoredObject &Now) {
    if (Now.Version <= Known.Version)
      return;
    auto Read = attempt([&] { return parseRecordSet(Now.Value); });
    Known = Now;
    if (Read) {
      Page = std::move(*Read);
    } else {
      // It gives way to the next write.
      logEvent(LogLevel::Error, "record_document_unreadable",
               {{"path", Path},
                {"version", std::to_string(Now.Version)},
                {"code", codeLabel(Read.error().Code)},
                {"why", Read.error().Detail}});
      Page = {Page.Revision, {}};
    }
    if (OnNews)
      OnNews(Page);
  }

  /// The document is gone from the store: an operator removed it.
  void removed() {
    if (Known.Version == 0 && Page.Objects.empty())
      return;
    Known = {};
    Page = {Page.Revision + 1, {}};
    if (OnNews)
      OnNews(Page);
  }

  // KindWriter; there is one kind.

  void writeObject(const std::string &, const std::string &Name,
                   nlohmann::json Content, std::uint64_t Revision,
                   StoreCallback<KindWriteReply> Done) {
    edit({Name, Revision, std::move(Content), false, std::move(Done)}, Tries);
  }
  void removeObject(const std::string &, const std::string &Name,
                    std::uint64_t Revision,
                    StoreCallback<KindWriteReply> Done) {
    edit({Name, Revision, {}, true, std::move(Done)}, Tries);
  }

private:
  /// Daemons that write at one moment meet; each try is one call more.
  static constexpr int Tries = 4;

  struct Edit {
    std::string Name;
    std::uint64_t Revision = 0; ///< That the object must have; 0: none.
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
    auto At = Page.Objects.find(Name);
    if (At == Page.Objects.end())
      return std::nullopt;
    return At->second;
  }

  bool asExpected(const Edit &E) const {
    std::optional<KindObject> Now = object(E.Name);
    return (Now ? Now->Revision : 0) == E.Revision;
  }

  RecordSet edited(const Edit &E) const {
    RecordSet Next = Page;
    ++Next.Revision;
    if (E.Removes)
      Next.Objects.erase(E.Name);
    else
      Next.Objects[E.Name] = {E.Name, Next.Revision, E.Content};
    return Next;
  }

  void edit(Edit E, int TriesLeft) {
    if (!asExpected(E))
      return refresh(std::move(E), TriesLeft); // Or it is we who are behind.
    std::string Text = formatRecordSet(edited(E));
    auto If = Known.Version == 0 ? Precondition::ifAbsent()
                                 : Precondition::ifVersion(Known.Version);
    auto Written = guarded([this, E = std::move(E), Text,
                            TriesLeft](const Attempt<std::uint64_t> &Version) {
      if (Version) {
        update({Text, *Version});
        return E.Done(KindWriteReply{true, object(E.Name)});
      }
      if (Version.error().Code == ResultCode::PlatformConflict && TriesLeft > 1)
        return refresh(E, TriesLeft);
      E.Done(Version.error());
    });
    S.write(Path, Text, If, std::move(Written));
  }

  /// Reads the document, and goes on with \p E if its object is as expected.
  void refresh(Edit E, int TriesLeft) {
    auto Read = guarded([this, E = std::move(E),
                         TriesLeft](const Attempt<StoredObject> &Now) {
      bool Absent = !Now && Now.error().Code == ResultCode::PlatformNotFound;
      if (!Now && !Absent)
        return E.Done(Now.error());
      if (Now)
        update(*Now);
      else
        removed();
      if (asExpected(E) && TriesLeft > 1)
        return edit(E, TriesLeft - 1);
      E.Done(KindWriteReply{false, object(E.Name)});
    });
    S.read(Path, std::move(Read));
  }

  Store &S;
  std::string Path;
  ChangeFn OnNews;
  StoredObject Known;
  RecordSet Page;
  std::shared_ptr<char> Alive = std::make_shared<char>();
};

} // namespace shallot

#endif // SHALLOTSHIFT_CRASHGUARD_RECORDDOCUMENT_H
