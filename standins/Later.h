//===- Later.h - A call after a while ---------------------------*- C++ -*-===//
#ifndef SHALLOTSHIFT_STANDINS_LATER_H
#define SHALLOTSHIFT_STANDINS_LATER_H

#include "shallotshift/base.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace shallot::standins {

/// Calls \p Fn once after \p After, unless the loop ends before.
inline void later(asio::io_context &Io, Duration After,
                  std::function<void()> Fn) {
  auto Timer = std::make_shared<asio::steady_timer>(Io, After);
  Timer->async_wait([Timer, Fn = std::move(Fn)](std::error_code Err) {
    if (!Err)
      Fn();
  });
}

} // namespace shallot::standins

#endif // SHALLOTSHIFT_STANDINS_LATER_H
