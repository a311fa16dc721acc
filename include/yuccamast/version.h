#pragma once

#include <string_view>

/// \file version.h
/// The version of the library and the program.

namespace yuccamast {

/// Semantic version (semver.org). The protocol between nodes has its own
/// version number.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace yuccamast
