#pragma once

#include <cstdint>
#include <msgpack.hpp>

/// \file load_report.h
/// What an exit says about the upstream beside it, on every answer and when it
/// is queried.
///
/// The counts are exact at the moment of sending. They are stale on arrival by
/// one way of the network, and older still when they are used; `UpstreamState`
/// accounts for that.

namespace yuccamast {

struct LoadReport {
  std::uint64_t boot_id = 0;          ///< Life of the exit's process.
  std::uint32_t running = 0;          ///< Calls that hold a slot.
  std::uint32_t queued = 0;           ///< Calls admitted and waiting.
  std::uint32_t limit = 0;            ///< Calls that may run at once now.
  std::uint32_t service_us = 0;       ///< Moving average of a short run.
  std::uint32_t oldest_short_us = 0;  ///< Age of the oldest short run.
  bool leaving = false;
  std::uint32_t wait_us = 0;     ///< What a new call would wait for a slot.
  std::uint32_t slowness = 100;  ///< Time that work takes now, in percent of
                                 ///< the usual, as the upstream says.
  std::uint32_t slow_remaining_us = 0;  ///< Expected rest of a slow spell.

  MSGPACK_DEFINE(boot_id,
                 running,
                 queued,
                 limit,
                 service_us,
                 oldest_short_us,
                 leaving,
                 wait_us,
                 slowness,
                 slow_remaining_us)
};

}  // namespace yuccamast
