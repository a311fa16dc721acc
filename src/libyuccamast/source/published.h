#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "json/object_reader.h"
#include "yuccamast/config/configuration.h"
#include "yuccamast/json_value.h"
#include "yuccamast/result.h"

/// \file published.h
/// What the platform publishes: the configuration's files and the VM list.
///
/// The configuration service answers
/// `{"revision": 7, "files": [{"name": "10-base.json", "text": "..."}]}`,
/// the VM list `{"revision": 3, "vms": [{"id": "vm-1", "ip": "10.0.0.1",
/// "inner_port": 8081, "data_centre": "dc1", "region": "mn-central",
/// "state": "live"}]}`. A list in which any VM is malformed is refused whole.
///
/// A platform that registers upstreams by itself, instead of naming them in the
/// configuration, lists them with the VM they run on: `"upstreams": [{"name":
/// "i-7", "service": "ledger", "port": 8080, "slots": 9, "state": "live",
/// "cold_ms": 0}]`. A name stands for one life of an upstream.

namespace yuccamast {

/// The configuration as published, not yet checked.
struct PublishedConfig {
  std::uint64_t revision = 0;
  std::vector<ConfigFile> files;
};

/// One upstream as the platform registered it.
struct ListedUpstream {
  std::string name;  ///< Of this life of it; another life has another name.
  std::string service;
  std::uint16_t port = 0;  ///< On its VM.
  std::uint32_t slots = 0;
  bool leaving = false;
  std::chrono::milliseconds cold{0};  ///< Slow for this long from now.

  /// Whether it is the same life at the same place; ignores what passes.
  bool IsSame(const ListedUpstream& other) const {
    return name == other.name && port == other.port;
  }
  bool operator==(const ListedUpstream&) const = default;
};

/// One VM of the platform's list.
struct VmRecord {
  std::string id;
  std::string ip;
  std::uint16_t inner_port = 0;
  std::string data_centre;
  std::string region;
  bool leaving = false;
  std::vector<ListedUpstream> upstreams;

  bool operator==(const VmRecord&) const = default;
};

struct VmList {
  std::uint64_t revision = 0;
  std::vector<VmRecord> vms;  ///< Sorted by id, ids unique.
};

/// Why a published text is refused.
struct PublishedError {
  std::string detail;
  std::vector<FieldError> fields;
};

Result<PublishedConfig, PublishedError> ParsePublishedConfig(
    std::string_view text);
Result<VmList, PublishedError> ParseVmList(std::string_view text);

/// The inverse of `ParsePublishedConfig`.
std::string WritePublishedConfig(const PublishedConfig& config);
std::string WriteVmList(const VmList& list);

}  // namespace yuccamast
