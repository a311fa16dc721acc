#pragma once

#include "yuccamast/config/configuration.h"
#include "yuccamast/json_value.h"

/// \file describe.h
/// Writes a merged configuration as JSON, for `yuccamast check`.
///
/// The result has the digest and the sections `services`, `upstreams` and
/// `rules`, with every default filled in. The section `bounds` is left out.

namespace yuccamast {

/// The JSON form of `configuration`. Thread-safe.
JsonValue Describe(const Configuration& configuration);

}  // namespace yuccamast
