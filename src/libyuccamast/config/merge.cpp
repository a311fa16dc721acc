#include <algorithm>
#include <map>

#include "config/config_ranges.h"
#include "config/rule_table.h"
#include "json/object_reader.h"
#include "yuccamast/config/configuration.h"
#include "yuccamast/json_value.h"

namespace yuccamast {

namespace {

constexpr std::array<std::string_view, 4> kSections = {"services", "upstreams",
                                                       "rules", "bounds"};

/// The only entry that the section `bounds` may have.
constexpr std::string_view kCallersEntry = "callers";

/// An entry while the files are merged: its fields so far and, for each of them
/// and each field reset to its default, the file that did so.
struct DraftEntry {
  JsonValue::Object fields;
  std::vector<const std::string*> field_files;  ///< `[i]` set `fields[i]`.
  std::map<std::string, const std::string*, std::less<>> reset_files;
  const std::string* file = nullptr;  ///< The last that changed the entry.
};

using DraftSection = std::map<std::string, DraftEntry, std::less<>>;

/// The merged files before they are checked, and the errors found so far.
struct Draft {
  std::map<std::string, DraftSection, std::less<>> sections;
  ConfigErrors errors;
};

void Report(Draft& draft,
            std::string file,
            std::string key,
            ConfigFault fault,
            std::string detail = "") {
  draft.errors.push_back(
      {std::move(file), std::move(key), fault, std::move(detail)});
}

/// Sets one field of an entry; `null` resets it to its default.
void MergeField(DraftEntry& entry, JsonMember& field, const std::string& file) {
  const auto old = std::ranges::find(entry.fields, field.key, &JsonMember::key);
  if (old != entry.fields.end()) {
    entry.field_files.erase(entry.field_files.begin() +
                            (old - entry.fields.begin()));
    entry.fields.erase(old);
  }
  if (field.value.IsNull()) {
    entry.reset_files[field.key] = &file;
    return;
  }
  entry.fields.push_back(std::move(field));
  entry.field_files.push_back(&file);
}

/// Adds an entry or overrides some of its fields; `null` removes the entry.
void MergeEntry(Draft& draft,
                const std::string& section,
                JsonMember& entry,
                const std::string& file) {
  DraftSection& entries = draft.sections[section];
  if (entry.value.IsNull()) {
    if (entries.erase(entry.key) == 0) {
      Report(draft, file, section + "." + entry.key,
             ConfigFault::kRemovesNothing);
    }
    return;
  }
  JsonValue::Object* fields = entry.value.AsObject();
  if (fields == nullptr) {
    Report(draft, file, section + "." + entry.key, ConfigFault::kWrongType,
           "expected an object");
    return;
  }
  DraftEntry& merged = entries[entry.key];
  merged.file = &file;
  std::ranges::for_each(
      *fields, [&](JsonMember& field) { MergeField(merged, field, file); });
}

void MergeFile(Draft& draft, const ConfigFile& file) {
  auto parsed = ParseJson(file.text);
  if (!parsed) {
    Report(draft, file.name, "", ConfigFault::kBadJson,
           std::string(NameOf(parsed.error().fault)) + ": " +
               parsed.error().detail);
    return;
  }
  JsonValue::Object* sections = parsed.value().AsObject();
  if (sections == nullptr) {
    Report(draft, file.name, "", ConfigFault::kWrongType, "expected an object");
    return;
  }
  for (JsonMember& section : *sections) {
    if (std::ranges::find(kSections, section.key) == kSections.end()) {
      Report(draft, file.name, section.key, ConfigFault::kUnknownKey);
      continue;
    }
    JsonValue::Object* entries = section.value.AsObject();
    if (entries == nullptr) {
      Report(draft, file.name, section.key, ConfigFault::kWrongType);
      continue;
    }
    std::ranges::for_each(*entries, [&](JsonMember& entry) {
      MergeEntry(draft, section.key, entry, file.name);
    });
  }
}

ConfigFault ToConfigFault(FieldFault fault) {
  switch (fault) {
    case FieldFault::kMissing:
      return ConfigFault::kMissing;
    case FieldFault::kOutOfRange:
      return ConfigFault::kOutOfRange;
    case FieldFault::kUnknownKey:
      return ConfigFault::kUnknownKey;
    case FieldFault::kUnknownName:
      return ConfigFault::kUnknownName;
    default:
      return ConfigFault::kWrongType;
  }
}

/// The file to report an error of a field for: the one that set or reset it,
/// else the last one that changed the entry.
const std::string& FileOfField(const DraftEntry& entry,
                               const JsonValue::Object& fields,
                               std::string_view key) {
  const auto field = std::ranges::find(fields, key, &JsonMember::key);
  if (field != fields.end()) {
    return *entry.field_files.at(
        static_cast<std::size_t>(field - fields.begin()));
  }
  const auto reset = entry.reset_files.find(key);
  return reset == entry.reset_files.end() ? *entry.file : *reset->second;
}

/// Reads one entry with `read`, which takes its fields out of the draft.
template <typename Read>
void ReadEntry(Draft& draft,
               const std::string& section,
               const std::string& name,
               DraftEntry& entry,
               Read read) {
  const JsonValue value{std::move(entry.fields)};
  std::vector<FieldError> errors;
  ObjectReader reader(value, "", &errors);
  read(reader);
  reader.Finish();
  std::ranges::for_each(errors, [&](const FieldError& error) {
    Report(draft, FileOfField(entry, *value.AsObject(), error.key),
           section + "." + name + "." + error.key, ToConfigFault(error.fault));
  });
}

// Each function below reads one entry. An optional field that is absent gets
// the default of its struct.

Service ReadService(const std::string& name, ObjectReader& reader) {
  Service service;
  service.name = name;
  service.policy =
      reader.Name<PolicyKind>("policy", PolicyFromName, service.policy);
  service.queue_limit = reader.Millis("queue_limit_ms", kQueueLimitRangeMs,
                                      service.queue_limit.count());
  service.queue_length = static_cast<std::uint32_t>(
      reader.Int("queue_length", kQueueLengthRange, service.queue_length));
  service.retry_share =
      reader.Double("retry_share", 0.0, 1.0, service.retry_share);
  service.health_path = reader.String("health_path", "");
  service.max_connections = static_cast<std::uint32_t>(
      reader.Int("max_connections", kMaxConnectionsRange, 0));
  service.cold_starts_per_s =
      reader.Double("cold_starts_per_s", 0.0, kMaxColdStartsPerS, 0.0);
  service.cold_start = reader.Millis("cold_start_ms", kColdStartRangeMs, 0);
  return service;
}

Upstream ReadUpstream(const std::string& name, ObjectReader& reader) {
  Upstream upstream;
  upstream.name = name;
  upstream.service = reader.String("service", std::nullopt);
  upstream.vm = reader.String("vm", std::nullopt);
  upstream.slots = static_cast<std::uint32_t>(
      reader.Int("slots", kSlotsRange, upstream.slots));
  const std::int64_t default_short_slots =
      std::min<std::int64_t>(upstream.short_slots, upstream.slots - 1);
  upstream.short_slots = static_cast<std::uint32_t>(
      reader.Int("short_slots", kShortSlotsRange, default_short_slots));
  if (upstream.short_slots >= upstream.slots) {
    reader.Report("short_slots", FieldFault::kOutOfRange);
  }
  return upstream;
}

/// Reads `split`, an object that maps services to weights; empty if absent. At
/// least one weight must be positive.
std::vector<SplitPart> ReadSplit(ObjectReader& reader) {
  std::vector<SplitPart> parts;
  const JsonValue* value = reader.Get("split");
  if (value == nullptr) {
    return parts;
  }
  const JsonValue::Object* object = value->AsObject();
  if (object == nullptr || object->empty()) {
    reader.Report("split", FieldFault::kWrongType);
    return parts;
  }
  std::uint64_t sum = 0;
  std::ranges::for_each(*object, [&](const JsonMember& member) {
    const std::int64_t* weight = member.value.AsInt();
    if (weight == nullptr || *weight < kSplitWeightRange.low ||
        *weight > kSplitWeightRange.high) {
      reader.Report("split", FieldFault::kOutOfRange);
      return;
    }
    sum += static_cast<std::uint64_t>(*weight);
    parts.push_back({member.key, static_cast<std::uint32_t>(*weight)});
  });
  if (sum == 0) {
    reader.Report("split", FieldFault::kOutOfRange);
  }
  return parts;
}

Rule ReadRule(const std::string& name, ObjectReader& reader) {
  Rule rule;
  rule.name = name;
  rule.split = ReadSplit(reader);
  rule.service = reader.String("service", rule.split.empty()
                                              ? std::nullopt
                                              : std::optional<std::string>(""));
  rule.method = reader.String("method", "*");
  rule.host = reader.String("host", "");
  rule.prefix = reader.String("prefix", "");
  rule.path = reader.String("path", rule.prefix.empty()
                                        ? std::nullopt
                                        : std::optional<std::string>(""));
  rule.idempotent = reader.Bool("idempotent", false);
  rule.deadline =
      reader.Millis("deadline_ms", kTimeRangeMs, rule.deadline.count());
  rule.weight = reader.Name<WeightClass>("weight", WeightFromName, rule.weight);
  rule.priority = reader.Int("priority", kPriorityRange, rule.priority);
  rule.objective = reader.Millis("objective_ms", kObjectiveRangeMs, 0);
  rule.urgency =
      static_cast<std::uint32_t>(reader.Int("urgency", kUrgencyRange, 0));
  rule.max_upstreams = static_cast<std::uint32_t>(
      reader.Int("max_upstreams", kMaxUpstreamsRange, rule.max_upstreams));
  return rule;
}

CallerBounds ReadCallerBounds(ObjectReader& reader) {
  const auto bytes = [&](std::string_view key,
                         IntRange range) -> std::optional<std::size_t> {
    if (reader.Get(key) == nullptr) {
      return std::nullopt;
    }
    return static_cast<std::size_t>(reader.Int(key, range, std::nullopt));
  };
  const auto millis =
      [&](std::string_view key) -> std::optional<std::chrono::milliseconds> {
    if (reader.Get(key) == nullptr) {
      return std::nullopt;
    }
    return reader.Millis(key, kTimeRangeMs, std::nullopt);
  };
  CallerBounds bounds;
  bounds.max_head_bytes = bytes("max_head_bytes", kHeadBytesRange);
  bounds.max_body_bytes = bytes("max_body_bytes", kBodyBytesRange);
  bounds.head_timeout = millis("head_timeout_ms");
  bounds.idle_timeout = millis("idle_timeout_ms");
  return bounds;
}

void ReadSections(Draft& draft, Configuration& result) {
  for (auto& item : draft.sections["services"]) {
    ReadEntry(draft, "services", item.first, item.second,
              [&](ObjectReader& reader) {
                result.services[item.first] = ReadService(item.first, reader);
              });
  }
  for (auto& item : draft.sections["upstreams"]) {
    ReadEntry(draft, "upstreams", item.first, item.second,
              [&](ObjectReader& reader) {
                result.upstreams[item.first] = ReadUpstream(item.first, reader);
              });
  }
  for (auto& item : draft.sections["rules"]) {
    ReadEntry(draft, "rules", item.first, item.second,
              [&](ObjectReader& reader) {
                result.rules[item.first] = ReadRule(item.first, reader);
              });
  }
  for (auto& item : draft.sections["bounds"]) {
    if (item.first != kCallersEntry) {
      Report(draft, *item.second.file, "bounds." + item.first,
             ConfigFault::kUnknownKey);
      continue;
    }
    ReadEntry(draft, "bounds", item.first, item.second,
              [&](ObjectReader& reader) {
                result.callers = ReadCallerBounds(reader);
              });
  }
}

/// Reports a service that an entry refers to but that is not defined.
void CheckServiceName(Draft& draft,
                      const Configuration& result,
                      const std::string& section,
                      const std::string& name,
                      const std::string& service) {
  if (service.empty() || result.services.contains(service)) {
    return;
  }
  Report(draft, *draft.sections[section][name].file,
         section + "." + name + ".service", ConfigFault::kDanglingService,
         service);
}

/// The name of that one of two conflicting entries whose last change is in the
/// later file. The error is reported there, since that change caused the
/// conflict.
const std::string& LastChangedEntry(Draft& draft,
                                    const std::string& section,
                                    const std::string& first,
                                    const std::string& second) {
  DraftSection& entries = draft.sections[section];
  return *entries[first].file > *entries[second].file ? first : second;
}

/// Checks that the services of the upstreams exist and that no two upstreams
/// are on one VM.
void CheckUpstreams(Draft& draft, const Configuration& result) {
  std::map<std::string, std::string> upstream_of_vm;
  for (const auto& [name, upstream] : result.upstreams) {
    CheckServiceName(draft, result, "upstreams", name, upstream.service);
    const auto [other, is_new] = upstream_of_vm.emplace(upstream.vm, name);
    if (!is_new) {
      const std::string& last_changed =
          LastChangedEntry(draft, "upstreams", other->second, name);
      Report(draft, *draft.sections["upstreams"][last_changed].file,
             "upstreams." + last_changed + ".vm", ConfigFault::kDuplicateVm,
             upstream.vm);
    }
  }
}

/// Whether `method` is `*` or consists of the letters A to Z.
bool IsMethod(std::string_view method) {
  return method == "*" ||
         (!method.empty() && std::ranges::all_of(method, [](char c) {
           return c >= 'A' && c <= 'Z';
         }));
}

/// Checks the fields of a prefix rule: `host` is in lower case and without a
/// port, `prefix` begins and ends with a slash, and neither `path` nor `method`
/// is set.
void CheckPrefix(Draft& draft, const std::string& name, const Rule& rule) {
  const bool has_slashes = rule.prefix.size() >= 2 &&
                           rule.prefix.front() == '/' &&
                           rule.prefix.back() == '/';
  const bool valid_host =
      !rule.host.empty() && std::ranges::none_of(rule.host, [](char c) {
        return (c >= 'A' && c <= 'Z') || c == ':' || c == '/' || c <= ' ';
      });
  if ((!has_slashes && rule.prefix != "/") || !valid_host ||
      !rule.path.empty() || rule.method != "*") {
    Report(draft, *draft.sections["rules"][name].file,
           "rules." + name + ".prefix", ConfigFault::kBadPrefix, rule.prefix);
  }
}

/// Checks each rule by itself and, if all path patterns are valid, that no two
/// rules overlap.
void CheckRules(Draft& draft, const Configuration& result) {
  bool all_paths_valid = true;
  for (const auto& [name, rule] : result.rules) {
    CheckServiceName(draft, result, "rules", name, rule.service);
    for (const SplitPart& part : rule.split) {
      CheckServiceName(draft, result, "rules", name, part.service);
    }
    if (!rule.prefix.empty() || !rule.host.empty()) {
      CheckPrefix(draft, name, rule);
    } else if (!ParsePattern(rule.path)) {
      all_paths_valid = false;
      Report(draft, *draft.sections["rules"][name].file,
             "rules." + name + ".path", ConfigFault::kBadPath, rule.path);
    }
    if (!IsMethod(rule.method)) {
      Report(draft, *draft.sections["rules"][name].file,
             "rules." + name + ".method", ConfigFault::kUnknownName,
             rule.method);
    }
  }
  if (!all_paths_valid) {
    return;
  }
  std::ranges::for_each(FindOverlaps(result.rules), [&](const auto& pair) {
    const std::string& last_changed =
        LastChangedEntry(draft, "rules", pair.first, pair.second);
    Report(draft, *draft.sections["rules"][last_changed].file,
           "rules." + last_changed, ConfigFault::kOverlap,
           last_changed == pair.first ? pair.second : pair.first);
  });
}

}  // namespace

Result<Configuration, ConfigErrors> MergeConfiguration(
    std::vector<ConfigFile> files,
    std::uint64_t revision) {
  std::ranges::sort(files, {}, &ConfigFile::name);
  Draft draft;
  std::ranges::for_each(
      files, [&](const ConfigFile& file) { MergeFile(draft, file); });
  Configuration result;
  result.revision = revision;
  result.digest = DigestOf(files);
  ReadSections(draft, result);
  if (draft.errors.empty() && result.services.empty()) {
    Report(draft, "", "services", ConfigFault::kEmpty);
  }
  CheckUpstreams(draft, result);
  CheckRules(draft, result);
  if (!draft.errors.empty()) {
    return draft.errors;
  }
  result.rule_table = std::make_shared<const RuleTable>(result.rules);
  return result;
}

}  // namespace yuccamast
