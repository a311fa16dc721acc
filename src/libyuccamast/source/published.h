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
/// The documents that the platform's services publish: the files of the
/// configuration, and the VM list. Both are JSON.
///
/// The configuration service returns
/// `{"revision": 7, "files": [{"name": "10-base.json", "text": "..."}]}`.
/// The VM list service returns `{"revision": 3, "vms": [{"id": "vm-1",
/// "ip": "10.0.0.1", "inner_port": 8081, "data_centre": "dc1",
/// "region": "mn-central", "state": "live"}]}`; `state` is `live` or `leaving`.
///
/// A platform that registers upstreams itself, instead of naming them in the
/// configuration, lists them under the VM that they run on: `"upstreams":
/// [{"name": "i-7", "service": "ledger", "port": 8080, "slots": 9,
/// "state": "live", "cold_ms": 0}]`. A name identifies one instance of an
/// upstream; after a restart it is listed under another name.
///
/// The optional member `"evacuated": ["dc1"]` of the VM list names the data
/// centres that the operator has emptied: no call is sent to an upstream there
/// until the name is removed. A name without any VM has no effect until one is
/// listed there.
///
/// The optional member `"era": 2` of the VM list says how often the service was
/// restored from a backup. Revisions are comparable within an era only; a list
/// of a later era is newer whatever its revision.
///
/// A document with any malformed entry is refused as a whole.

namespace yuccamast {

/// The configuration as published, not yet checked.
struct PublishedConfig {
  std::uint64_t revision = 0;
  std::vector<ConfigFile> files;
};

/// Largest values that `ParseVmList` accepts of an upstream.
inline constexpr std::int64_t kMaxListedSlots = 1'000'000;
inline constexpr std::chrono::milliseconds kMaxListedCold =
    std::chrono::hours(1);

/// An instance of an upstream as the platform registered it.
struct ListedUpstream {
  std::string name;  ///< Of this instance; a restarted upstream has another.
  std::string service;
  std::uint16_t port = 0;  ///< On its VM.
  std::uint32_t slots = 0;
  bool leaving = false;
  /// Time left of its slow start, in which it is slower; zero: none.
  std::chrono::milliseconds cold{0};

  /// Whether both are the same instance at the same port. Ignores the fields
  /// that change during the life of an instance.
  bool IsSameInstance(const ListedUpstream& other) const {
    return name == other.name && port == other.port;
  }
  bool operator==(const ListedUpstream&) const = default;
};

/// One VM of the platform's list.
struct VmRecord {
  std::string id;
  std::string ip;
  std::uint16_t inner_port = 0;  ///< On which its node accepts its peers.
  std::string data_centre;
  std::string region;
  bool leaving = false;
  std::vector<ListedUpstream> upstreams;

  bool operator==(const VmRecord&) const = default;
};

/// The platform's list of VMs.
struct VmList {
  std::uint64_t revision = 0;
  std::vector<VmRecord> vms;  ///< Sorted by id, ids unique.
  /// Names of the emptied data centres, sorted and unique.
  std::vector<std::string> evacuated;
  std::uint64_t era = 0;  ///< 0: the service names none.
};

/// Whether the operator has emptied this data centre. Thread-safe.
bool IsEvacuated(const VmList& list, std::string_view data_centre);

/// Why a published document is refused.
struct PublishedError {
  std::string detail;              ///< For the log.
  std::vector<FieldError> fields;  ///< Errors of single fields, if any.
};

/// Parses the document of the configuration service. The files are not checked;
/// see `MergeConfiguration`. Thread-safe.
Result<PublishedConfig, PublishedError> ParsePublishedConfig(
    std::string_view text);

/// Parses the document of the VM list service; `era` and `revision` are 0 if
/// absent. Fails
/// if a VM id is listed twice, an `ip` is not an IP address, or `evacuated` is
/// not an array of names. Thread-safe.
Result<VmList, PublishedError> ParseVmList(std::string_view text);

/// The inverse of `ParsePublishedConfig`. Thread-safe.
std::string WritePublishedConfig(const PublishedConfig& config);

/// The inverse of `ParseVmList`. Thread-safe.
std::string WriteVmList(const VmList& list);

}  // namespace yuccamast
