#include "platform/published.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

namespace yuccamast {

namespace {

constexpr IntRange kRevisionRange{0, INT64_MAX};
constexpr IntRange kPortRange{1, 65'535};

std::optional<bool> LeavingFromName(std::string_view name) {
  if (name == "live") {
    return false;
  }
  if (name == "leaving") {
    return true;
  }
  return std::nullopt;
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
  reader.Finish();
  boost::system::error_code bad;
  boost::asio::ip::make_address(vm.ip, bad);
  if (bad) {
    reader.Report("ip", FieldFault::kOutOfRange);
  }
  if (vm.id.empty()) {
    reader.Report("id", FieldFault::kOutOfRange);
  }
  return vm;
}

}  // namespace

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
    return PublishedError{"files", errors};
  }
  std::ranges::for_each(*array, [&](const JsonValue& item) {
    ObjectReader file(item, "files.", &errors);
    config.files.push_back(
        {file.String("name", std::nullopt), file.String("text", std::nullopt)});
    file.Finish();
  });
  reader.Finish();
  if (!errors.empty()) {
    return PublishedError{"fields", errors};
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
  list.revision =
      static_cast<std::uint64_t>(reader.Int("revision", kRevisionRange, 0));
  const JsonValue* vms = reader.Get("vms");
  const JsonValue::Array* array = vms == nullptr ? nullptr : vms->AsArray();
  if (array == nullptr) {
    reader.Report("vms", FieldFault::kWrongType);
    return PublishedError{"vms", errors};
  }
  std::ranges::transform(
      *array, std::back_inserter(list.vms),
      [&](const JsonValue& item) { return ReadVm(item, "vms.", &errors); });
  reader.Finish();
  std::ranges::sort(list.vms, {}, &VmRecord::id);
  const auto twice = std::ranges::adjacent_find(list.vms, {}, &VmRecord::id);
  if (twice != list.vms.end()) {
    return PublishedError{"VM listed twice: " + twice->id, errors};
  }
  if (!errors.empty()) {
    return PublishedError{"fields", errors};
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
    vms.push_back(
        JsonValue::Object{{"id", vm.id},
                          {"ip", vm.ip},
                          {"inner_port", static_cast<int>(vm.inner_port)},
                          {"data_centre", vm.data_centre},
                          {"region", vm.region},
                          {"state", vm.leaving ? "leaving" : "live"}});
  });
  return WriteJson(
      JsonValue::Object{{"revision", list.revision}, {"vms", std::move(vms)}});
}

}  // namespace yuccamast
