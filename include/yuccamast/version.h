#pragma once

#include <string_view>

/// \file version.h
/// The version of the library and the program.

namespace yuccamast {

/// Semantic version; the inner protocol has a number of its own.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace yuccamast
