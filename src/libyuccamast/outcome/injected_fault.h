#pragma once

#include <cstdint>

/// \file injected_fault.h
/// Faults planted on purpose, to check that the fault matrix catches them.
///
/// In the library and the program `IsFaultInjected` is a constant false. The
/// test node is built with YUCCAMAST_PLANTED_FAULTS and plants what its
/// environment names in YUCCAMAST_PLANT.

namespace yuccamast {

enum class InjectedFault : std::uint8_t {
  kResend,      ///< A request is written again when its connection dies.
  kFalseClaim,  ///< "Not run" is claimed after the start.
  kLostCancel,  ///< The exit ignores a cancellation.
  kCutReply,    ///< A reply cut short is passed on as whole.
  kSlotLeak,    ///< A slot is not given back when a run fails.
};

#ifdef YUCCAMAST_PLANTED_FAULTS
bool IsFaultInjected(InjectedFault fault);
#else
constexpr bool IsFaultInjected(InjectedFault /*fault*/) {
  return false;
}
#endif

}  // namespace yuccamast
