//===- Immutable.h - Base of validated immutable values ---------*- C++ -*-===//
//
// Each validated type of this package consists of a plain struct of fields and
// a class that a static make() creates from it after validation:
//
//   Result<Upstream> U = Upstream::make({.Id = ..., .Address = ...});
//   U.value()->Slots
//
// The fields cannot change after make(), so the validation stays valid.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_MODEL_IMMUTABLE_H
#define SHALLOTSHIFT_MODEL_IMMUTABLE_H

#include <utility>

namespace shallot {

/// Read-only access to a struct of fields, with equality by value.
template <typename Fields> class Immutable {
public:
  const Fields *operator->() const { return &F; }
  const Fields &operator*() const { return F; }

  friend bool operator==(const Immutable &, const Immutable &) = default;

protected:
  explicit Immutable(Fields F) : F(std::move(F)) {}

private:
  Fields F;
};

} // namespace shallot

#endif // SHALLOTSHIFT_MODEL_IMMUTABLE_H
