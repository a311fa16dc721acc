#pragma once

#include "yuccamast/config/configuration.h"
#include "yuccamast/json_value.h"

/// \file describe.h
/// A configuration as JSON, with every default filled in.

namespace yuccamast {

/// The merged configuration, for `yuccamast check`.
JsonValue Describe(const Configuration& configuration);

}  // namespace yuccamast
