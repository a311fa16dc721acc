#pragma once

#include <functional>
#include <string_view>

#include "yuccamast/outcome/call_state_machine.h"

/// \file step_hook.h
/// Test hook that holds a call at a given step of its state machine.

namespace yuccamast {

/// Called when a call for this request target reaches a step, on the thread of
/// the call. At an exit, `kOffered` means that an offer was received. The call
/// waits until `resume` is called, which may be done later, from any thread,
/// and at most once.
using StepHook = std::function<
    void(CallStep step, std::string_view target, std::function<void()> resume)>;

}  // namespace yuccamast
