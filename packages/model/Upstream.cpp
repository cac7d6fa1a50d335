#include "model/Upstream.h"

#include <fmt/format.h>

namespace shallot {

Result<Upstream> Upstream::make(UpstreamFields F) {
  BOOST_LEAF_CHECK(checkName(F.Id.str(), "upstream name"));
  BOOST_LEAF_CHECK(checkName(F.Zone.str(), "upstream zone"));
  if (F.Slots < 1 || F.Slots > MaxSlots)
    return fail(ResultCode::OutOfRange,
                fmt::format("upstream {}: slots is {}, allowed are 1 to {}",
                            F.Id.str(), F.Slots, MaxSlots));
  if (F.Connections < F.Slots || F.Connections > MaxConnections)
    return fail(
        ResultCode::OutOfRange,
        fmt::format("upstream {}: connections is {}, allowed are {} (its "
                    "slots) to {}",
                    F.Id.str(), F.Connections, F.Slots, MaxConnections));
  return Upstream(std::move(F));
}

} // namespace shallot
