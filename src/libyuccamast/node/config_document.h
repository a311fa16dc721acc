#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamast/config/configuration.h"

/// \file config_document.h
/// The text in which nodes send the files of a configuration to each other.

namespace yuccamast {

/// Packs the files with msgpack, in the order of their names, so that equal
/// files give equal texts. Thread-safe.
std::string PackConfigFiles(std::vector<ConfigFile> files);

/// The inverse of `PackConfigFiles`; nothing if `text` is malformed. The files
/// are not checked. Thread-safe.
std::optional<std::vector<ConfigFile>> UnpackConfigFiles(std::string_view text);

}  // namespace yuccamast
