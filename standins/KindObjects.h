//===- KindObjects.h - The metadata store's objects, in memory --*- C++ -*-===//
//
// Objects by kind and name, as the users' platform keeps them: one revision
// counter for the whole store, writes that may demand a revision, and a history
// of changes that can be dropped at any moment. A store that is restored from a
// copy gives out the revisions since then once more, in a new era.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_STANDINS_KINDOBJECTS_H
#define SHALLOTSHIFT_STANDINS_KINDOBJECTS_H

#include "standins/Json.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace shallot::standins {

/// Changes that are remembered; older ones are history that is gone.
inline constexpr std::size_t MaxKindHistory = 4096;
/// Objects in one page of a list.
inline constexpr std::size_t KindPageSize = 50;

enum class KindWrite : std::uint8_t { Done, Exists, Conflict, NotFound };

class KindObjects {
public:
  /// Creates or replaces. \p If is the revision that the object must have; 0:
  /// it must not exist; nothing: as it is. A write that changes nothing makes
  /// no event.
  KindWrite put(const std::string &Kind, const std::string &Name, Json Spec,
                std::optional<std::uint64_t> If = {});
  KindWrite remove(const std::string &Kind, const std::string &Name,
                   std::optional<std::uint64_t> If = {});
  const Json *find(const std::string &Kind, const std::string &Name) const;
  /// Up to KindPageSize objects behind the name \p After.
  Json page(const std::string &Kind, const std::string &After,
            bool &More) const;
  /// Changes of \p Kind after \p Revision; nothing when that history is gone or
  /// has not happened.
  std::optional<Json> changes(const std::string &Kind,
                              std::uint64_t Revision) const;
  void dropHistory();
  /// Replaces everything by \p Copy, an earlier state of these objects.
  void restore(const KindObjects &Copy);
  std::uint64_t revision() const { return Revision; }
  /// Grows by one with each restore.
  std::uint64_t era() const { return Era; }

private:
  struct Event {
    std::string Kind;
    Json Object;
    bool Deleted = false;
    std::uint64_t Revision = 0;
  };

  void note(const std::string &Kind, const Json &Object, bool Deleted);

  std::map<std::string, std::map<std::string, Json>> Objects;
  std::deque<Event> History;
  /// The store had other users before.
  std::uint64_t Revision = 100;
  std::uint64_t HistoryFrom = 0; ///< Changes up to this one are forgotten.
  std::uint64_t Era = 1;
};

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_KINDOBJECTS_H
