#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "http/memory_budget.h"
#include "http/upstream_pool.h"
#include "link/server.h"
#include "node/exit_calls.h"
#include "node/running_call_ids.h"
#include "yuccamast/outcome/call_state_machine.h"

/// \file exit_call.h
/// One call that an exit holds. Private to `ExitCalls`.

namespace yuccamast {

/// A call that the exit holds, from its admission to its end.
struct ExitCalls::Call {
  Call(boost::asio::io_context& io,
       StreamResponder stream_reply,
       MemoryBudget& budget)
      : reply(std::move(stream_reply)),
        memory(budget),
        deadline_timer(io),
        life(CallStep::kAdmitted) {}

  CallTicket ticket = 0;
  std::uint64_t key = 0;
  OfferMessage offer;
  StreamResponder reply;
  MemoryReservation memory;
  asio::steady_timer deadline_timer;
  CallStateMachine life;
  TimePoint received_at;
  TimePoint started_at;
  TimePoint deadline;
  double slowed_by = 1.0;  ///< Of its machine when the run began.
  RunningCallIds::Place running_place = RunningCallIds::kNowhere;
  bool has_slot = false;
  bool told = false;       ///< The entry has its answer or is gone.
  bool head_seen = false;  ///< The reply's head was read.
  std::shared_ptr<UpstreamRun> run;
};

/// Whole microseconds of a duration that is not negative.
inline std::uint64_t ToMicroseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

}  // namespace yuccamast
