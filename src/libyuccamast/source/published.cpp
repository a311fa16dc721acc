#include "source/published.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

namespace yuccamast {

namespace {

constexpr IntRange kRevisionRange{0, INT64_MAX};
constexpr IntRange kPortRange{1, 65'535};

/// Parses `state`: whether a VM or upstream is leaving.
std::optional<bool> LeavingFromName(std::string_view name) {
  if (name == "live") {
    return false;
  }
  if (name == "leaving") {
    return true;
  }
  return std::nullopt;
}

constexpr IntRange kSlotRange{1, kMaxListedSlots};
constexpr IntRange kColdRangeMs{0, kMaxListedCold.count()};

ListedUpstream ReadListedUpstream(const JsonValue& value,
                                  std::vector<FieldError>* errors) {
  ObjectReader reader(value, "vms.upstreams.", errors);
  ListedUpstream upstream;
  upstream.name = reader.String("name", std::nullopt);
  upstream.service = reader.String("service", std::nullopt);
  upstream.port =
      static_cast<std::uint16_t>(reader.Int("port", kPortRange, std::nullopt));
  upstream.slots =
      static_cast<std::uint32_t>(reader.Int("slots", kSlotRange, std::nullopt));
  upstream.leaving = reader.Name<bool>("state", LeavingFromName, false);
  upstream.cold = reader.Millis("cold_ms", kColdRangeMs, 0);
  reader.Finish();
  return upstream;
}

VmRecord ReadVm(const JsonValue& value,
                const std::string& prefix,
                std::vector<FieldError>* errors) {
  ObjectReader reader(value, prefix, errors);
  VmRecord vm;
  vm.id = reader.String("id", std::nullopt);
  vm.ip = reader.String("ip", std::nullopt);
  vm.inner_port = static_cast<std::uint16_t>(
      reader.Int("inner_port", kPortRange, std::nullopt));
  vm.data_centre = reader.String("data_centre", std::nullopt);
  vm.region = reader.String("region", "");
  vm.leaving = reader.Name<bool>("state", LeavingFromName, false);
  if (const JsonValue* upstreams = reader.Get("upstreams")) {
    const JsonValue::Array* array = upstreams->AsArray();
    if (array == nullptr) {
      reader.Report("upstreams", FieldFault::kWrongType);
    } else {
      std::ranges::transform(*array, std::back_inserter(vm.upstreams),
                             [&](const JsonValue& item) {
                               return ReadListedUpstream(item, errors);
                             });
    }
  }
  reader.Finish();
  boost::system::error_code address_error;
  boost::asio::ip::make_address(vm.ip, address_error);
  if (address_error) {
    reader.Report("ip", FieldFault::kOutOfRange);
  }
  if (vm.id.empty()) {
    reader.Report("id", FieldFault::kOutOfRange);
  }
  return vm;
}

std::vector<std::string> ReadEvacuated(ObjectReader& reader) {
  const JsonValue* value = reader.Get("evacuated");
  if (value == nullptr) {
    return {};
  }
  const JsonValue::Array* array = value->AsArray();
  if (array == nullptr) {
    reader.Report("evacuated", FieldFault::kWrongType);
    return {};
  }
  std::vector<std::string> names;
  std::ranges::for_each(*array, [&](const JsonValue& item) {
    const std::string* name = item.AsString();
    if (name == nullptr) {
      reader.Report("evacuated", FieldFault::kWrongType);
    } else if (name->empty()) {
      reader.Report("evacuated", FieldFault::kOutOfRange);
    } else {
      names.push_back(*name);
    }
  });
  std::ranges::sort(names);
  names.erase(std::unique(names.begin(), names.end()), names.end());
  return names;
}

}  // namespace

bool IsEvacuated(const VmList& list, std::string_view data_centre) {
  return std::ranges::binary_search(list.evacuated, data_centre);
}

Result<PublishedConfig, PublishedError> ParsePublishedConfig(
    std::string_view text) {
  const auto json = ParseJson(text);
  if (!json) {
    return PublishedError{json.error().detail, {}};
  }
  std::vector<FieldError> errors;
  ObjectReader reader(json.value(), "", &errors);
  PublishedConfig config;
  config.revision = static_cast<std::uint64_t>(
      reader.Int("revision", kRevisionRange, std::nullopt));
  const JsonValue* files = reader.Get("files");
  const JsonValue::Array* array = files == nullptr ? nullptr : files->AsArray();
  if (array == nullptr) {
    reader.Report("files", FieldFault::kWrongType);
    return PublishedError{"files: missing or not an array", errors};
  }
  std::ranges::for_each(*array, [&](const JsonValue& item) {
    ObjectReader file(item, "files.", &errors);
    config.files.push_back(
        {file.String("name", std::nullopt), file.String("text", std::nullopt)});
    file.Finish();
  });
  reader.Finish();
  if (!errors.empty()) {
    return PublishedError{"a field is missing, unknown or has a bad value",
                          errors};
  }
  return config;
}

Result<VmList, PublishedError> ParseVmList(std::string_view text) {
  const auto json = ParseJson(text);
  if (!json) {
    return PublishedError{json.error().detail, {}};
  }
  std::vector<FieldError> errors;
  ObjectReader reader(json.value(), "", &errors);
  VmList list;
  list.era = static_cast<std::uint64_t>(reader.Int("era", kRevisionRange, 0));
  list.revision =
      static_cast<std::uint64_t>(reader.Int("revision", kRevisionRange, 0));
  const JsonValue* vms = reader.Get("vms");
  const JsonValue::Array* array = vms == nullptr ? nullptr : vms->AsArray();
  if (array == nullptr) {
    reader.Report("vms", FieldFault::kWrongType);
    return PublishedError{"vms: missing or not an array", errors};
  }
  std::ranges::transform(
      *array, std::back_inserter(list.vms),
      [&](const JsonValue& item) { return ReadVm(item, "vms.", &errors); });
  list.evacuated = ReadEvacuated(reader);
  reader.Finish();
  std::ranges::sort(list.vms, {}, &VmRecord::id);
  const auto repeated = std::ranges::adjacent_find(list.vms, {}, &VmRecord::id);
  if (repeated != list.vms.end()) {
    return PublishedError{
        "vms: this id is listed more than once: " + repeated->id, errors};
  }
  if (!errors.empty()) {
    return PublishedError{"a field is missing, unknown or has a bad value",
                          errors};
  }
  return list;
}

std::string WritePublishedConfig(const PublishedConfig& config) {
  JsonValue::Array files;
  std::ranges::for_each(config.files, [&](const ConfigFile& file) {
    files.push_back(
        JsonValue::Object{{"name", file.name}, {"text", file.text}});
  });
  return WriteJson(JsonValue::Object{{"revision", config.revision},
                                     {"files", std::move(files)}});
}

std::string WriteVmList(const VmList& list) {
  JsonValue::Array vms;
  std::ranges::for_each(list.vms, [&](const VmRecord& vm) {
    JsonValue::Object row{{"id", vm.id},
                          {"ip", vm.ip},
                          {"inner_port", static_cast<int>(vm.inner_port)},
                          {"data_centre", vm.data_centre},
                          {"region", vm.region},
                          {"state", vm.leaving ? "leaving" : "live"}};
    if (!vm.upstreams.empty()) {
      JsonValue::Array upstreams;
      std::ranges::transform(
          vm.upstreams, std::back_inserter(upstreams),
          [](const ListedUpstream& upstream) {
            return JsonValue::Object{
                {"name", upstream.name},
                {"service", upstream.service},
                {"port", static_cast<int>(upstream.port)},
                {"slots", upstream.slots},
                {"state", upstream.leaving ? "leaving" : "live"},
                {"cold_ms", std::int64_t{upstream.cold.count()}}};
          });
      row.push_back({"upstreams", std::move(upstreams)});
    }
    vms.push_back(std::move(row));
  });
  JsonValue::Object document{{"revision", list.revision},
                             {"vms", std::move(vms)}};
  if (list.era > 0) {
    document.push_back({"era", list.era});
  }
  if (!list.evacuated.empty()) {
    document.push_back({"evacuated", JsonValue::Array(list.evacuated.begin(),
                                                      list.evacuated.end())});
  }
  return WriteJson(document);
}

}  // namespace yuccamast
