#pragma once

#include <cstdint>

/// \file injected_fault.h
/// Fault injection: deliberate faults, injected to check that the tests of the
/// fault matrix detect them.
///
/// In the library and in the program `IsFaultInjected` is always false. The
/// test node is built with YUCCAMAST_FAULT_INJECTION and injects the fault that
/// the environment variable YUCCAMAST_PLANT names.

namespace yuccamast {

/// Faults that the test node can inject.
enum class InjectedFault : std::uint8_t {
  kResend,      ///< A request is sent again when its connection is lost.
  kFalseClaim,  ///< A refusal after the start says "not run".
  kLostCancel,  ///< The exit ignores a cancellation.
  kCutReply,    ///< A truncated reply is passed on as complete.
  kSlotLeak,    ///< A slot is not released when a run fails.
};

/// Whether the running process injects `fault`.
#ifdef YUCCAMAST_FAULT_INJECTION
bool IsFaultInjected(InjectedFault fault);
#else
constexpr bool IsFaultInjected(InjectedFault /*fault*/) {
  return false;
}
#endif

}  // namespace yuccamast
