//===- Result.h - Results and errors ----------------------------*- C++ -*-===//
//
// Functions that can fail return Result<T> (Boost.LEAF). They fail with
// fail(Code, "..."): the code is for programs, the text names what the user
// wrote and what to do. Where an error has to be kept or sent on, attempt()
// turns a Result into a plain value:
//
//   Attempt<Preset> P = attempt([&] { return Preset::make(Fields); });
//   if (!P)
//     log(P.error().Code, P.error().Detail);
//
// An Error is a user's error unless its code is 9xxx; those are faults of this
// program and say so.
//
//===----------------------------------------------------------------------===//
#ifndef SHALLOTSHIFT_BASE_RESULT_H
#define SHALLOTSHIFT_BASE_RESULT_H

#include "base/ResultCode.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <exception>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace shallot {

namespace leaf = boost::leaf;

template <typename T> using Result = leaf::result<T>;

/// A numbered error with a text for the person who can mend it.
struct Error {
  ResultCode Code = ResultCode::Internal;
  std::string Detail;

  friend bool operator==(const Error &, const Error &) = default;
};

/// Makes the failing value of any Result<T>.
inline leaf::error_id fail(ResultCode Code, std::string Detail) {
  return leaf::new_error(Error{Code, std::move(Detail)});
}

/// A value or the error that stands in its place, as a plain value that can be
/// stored, copied and sent between threads.
template <typename T> class Attempt {
public:
  Attempt(T Value) : Val(std::move(Value)) {}
  Attempt(Error Err) : Err(std::move(Err)) {}

  explicit operator bool() const { return Val.has_value(); }
  const T &value() const { return *Val; }
  T &value() { return *Val; }
  const T &operator*() const { return *Val; }
  T &operator*() { return *Val; }
  const T *operator->() const { return &*Val; }
  /// The error; Ok with an empty text when there is a value.
  const Error &error() const { return Err; }

private:
  std::optional<T> Val;
  Error Err{ResultCode::Ok, {}};
};

/// Stands for "it worked" where there is no value to give: attempt() turns a
/// Result<void> into an Attempt<Done>.
struct Done {
  friend bool operator==(const Done &, const Done &) = default;
};

namespace internal {

template <typename R> struct ValueOf;
template <typename T> struct ValueOf<Result<T>> { using Type = T; };
template <> struct ValueOf<Result<void>> { using Type = Done; };

} // namespace internal

/// Runs \p Fn, which returns Result<T>, and keeps its value or its error. An
/// exception becomes an Internal error with the exception's text.
template <typename F> auto attempt(F &&Fn) {
  using R = std::decay_t<decltype(Fn())>;
  using T = typename internal::ValueOf<R>::Type;
  return leaf::try_handle_all(
      [&]() -> Result<Attempt<T>> {
        R Outcome = Fn();
        if (!Outcome)
          return Outcome.error();
        if constexpr (std::is_same_v<T, Done>)
          return Attempt<T>(Done{});
        else
          return Attempt<T>(std::move(Outcome.value()));
      },
      [](const Error &E) { return Attempt<T>(E); },
      [](const leaf::error_info &Info) {
        const std::exception *Fault = Info.exception();
        return Attempt<T>(
            Error{ResultCode::Internal,
                  Fault ? Fault->what() : "error without a code"});
      });
}

} // namespace shallot

#endif // SHALLOTSHIFT_BASE_RESULT_H
