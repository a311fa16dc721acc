#pragma once

#include <functional>
#include <string_view>

#include "yuccamast/outcome/call_state_machine.h"

/// \file step_hook.h
/// Lets a test hold a call at a named step.

namespace yuccamast {

/// Called when a call with this target reaches a step. `go` lets it continue;
/// it may be called later and from any thread, at most once.
using StepHook = std::function<
    void(CallStep step, std::string_view target, std::function<void()> go)>;

}  // namespace yuccamast
