#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "http/upstream_pool.h"
#include "link/server.h"
#include "memory/memory_budget.h"
#include "node/exit_calls.h"
#include "node/running_call_ids.h"
#include "yuccamast/outcome/call_state_machine.h"

/// \file exit_call.h
/// State of one call held by an exit. Private to the sources of `ExitCalls`.

namespace yuccamast {

/// A call from its admission to its end, queued or running.
struct ExitCalls::Call {
  Call(boost::asio::io_context& io,
       StreamResponder stream_responder,
       MemoryBudget& budget)
      : responder(std::move(stream_responder)),
        memory(budget, MemoryUse::kOffer),
        deadline_timer(io),
        state(CallStep::kAdmitted) {}

  CallTicket ticket = 0;
  std::uint64_t stream_key = 0;  ///< Identifies the offer's stream.
  OfferMessage offer;  ///< Fields and body are moved out when the run begins.
  StreamResponder responder;
  MemoryReservation memory;  ///< For the body of the request.
  asio::steady_timer deadline_timer;
  CallStateMachine state;
  TimePoint received_at;
  TimePoint started_at;  ///< Epoch of the clock: not started.
  TimePoint deadline;
  double vm_slowdown = 1.0;  ///< Slowdown factor of the VM at the start.
  RunningCallIds::Index running_index = RunningCallIds::kNoIndex;
  bool has_slot = false;
  bool reply_done = false;       ///< Answered, or cancelled by the entry.
  bool reply_head_read = false;  ///< The head of the upstream's reply was read.
  std::shared_ptr<UpstreamRun> run;  ///< Null until connecting starts.
};

/// Whole microseconds. Precondition: `duration` is not negative.
inline std::uint64_t ToMicroseconds(Duration duration) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

}  // namespace yuccamast
