#include "yuccamast/config/configuration.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/rule_table.h"

namespace yuccamast {

namespace {

template <typename Enum>
struct NameRow {
  Enum value;
  std::string_view name;
};

constexpr std::array<NameRow<PolicyKind>, 5> kPolicyNames = {{
    {PolicyKind::kLeastCost, "least_cost"},
    {PolicyKind::kRandom, "random"},
    {PolicyKind::kRoundRobin, "round_robin"},
    {PolicyKind::kLeastOutstanding, "least_outstanding"},
    {PolicyKind::kRandomTwo, "random_two"},
}};

constexpr std::array<NameRow<WeightClass>, 2> kWeightNames = {{
    {WeightClass::kShort, "short"},
    {WeightClass::kLong, "long"},
}};

constexpr std::array<NameRow<ConfigFault>, 14> kFaultNames = {{
    {ConfigFault::kUnreadable, "unreadable"},
    {ConfigFault::kBadJson, "bad_json"},
    {ConfigFault::kUnknownKey, "unknown_key"},
    {ConfigFault::kWrongType, "wrong_type"},
    {ConfigFault::kOutOfRange, "out_of_range"},
    {ConfigFault::kMissing, "missing"},
    {ConfigFault::kUnknownName, "unknown_name"},
    {ConfigFault::kDanglingService, "dangling_service"},
    {ConfigFault::kRemovesNothing, "removes_nothing"},
    {ConfigFault::kBadPath, "bad_path"},
    {ConfigFault::kOverlap, "overlap"},
    {ConfigFault::kDuplicateVm, "duplicate_vm"},
    {ConfigFault::kEmpty, "empty"},
    {ConfigFault::kBadPrefix, "bad_prefix"},
}};

/// The name of `value` in a table of `NameRow`, or `?` if it has none.
template <typename Table, typename Enum>
std::string_view FindName(const Table& table, Enum value) {
  const auto row = std::ranges::find(table, value, &NameRow<Enum>::value);
  return row == table.end() ? "?" : row->name;
}

/// The value called `name` in a table of `NameRow`, or nothing.
template <typename Enum, typename Table>
std::optional<Enum> FindValue(const Table& table, std::string_view name) {
  const auto row = std::ranges::find(table, name, &NameRow<Enum>::name);
  return row == table.end() ? std::nullopt : std::optional<Enum>(row->value);
}

}  // namespace

std::string_view NameOf(PolicyKind kind) {
  return FindName(kPolicyNames, kind);
}

std::optional<PolicyKind> PolicyFromName(std::string_view name) {
  return FindValue<PolicyKind>(kPolicyNames, name);
}

std::string_view NameOf(WeightClass weight) {
  return FindName(kWeightNames, weight);
}

std::optional<WeightClass> WeightFromName(std::string_view name) {
  return FindValue<WeightClass>(kWeightNames, name);
}

std::string_view NameOf(ConfigFault fault) {
  return FindName(kFaultNames, fault);
}

bool IsUnambiguousPath(std::string_view path) {
  if (path == "/") {
    return true;
  }
  if (path.empty() || path.front() != '/' || path.back() == '/') {
    return false;
  }
  std::string lower(path);
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  constexpr std::array<std::string_view, 7> kAmbiguousParts = {
      "//", "\\", "%2f", "%5c", "%2e", "%00", ";"};
  const bool has_ambiguous_part =
      std::ranges::any_of(kAmbiguousParts, [&](std::string_view part) {
        return lower.find(part) != std::string::npos;
      });
  const bool has_bad_byte = std::ranges::any_of(
      path, [](unsigned char c) { return c <= ' ' || c >= 0x7f; });
  const bool has_dot_segment = lower.find("/./") != std::string::npos ||
                               lower.find("/../") != std::string::npos ||
                               lower.ends_with("/.") || lower.ends_with("/..");
  return !has_ambiguous_part && !has_bad_byte && !has_dot_segment;
}

std::string DigestOf(const std::vector<ConfigFile>& files) {
  XXH3_state_t* state = XXH3_createState();
  XXH3_128bits_reset(state);
  // Each text is preceded by its size, so that moving bytes from one text to
  // the next changes the digest.
  const auto add = [state](const std::string& text) {
    const std::uint64_t size = text.size();
    XXH3_128bits_update(state, &size, sizeof(size));
    XXH3_128bits_update(state, text.data(), text.size());
  };
  std::vector<ConfigFile> sorted = files;
  std::ranges::sort(sorted, {}, &ConfigFile::name);
  std::ranges::for_each(sorted, [&](const ConfigFile& file) {
    add(file.name);
    add(file.text);
  });
  const XXH128_hash_t hash = XXH3_128bits_digest(state);
  XXH3_freeState(state);
  std::array<char, 33> text{};
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return text.data();
}

Result<std::vector<ConfigFile>, ConfigErrors> ReadConfigFolder(
    const std::string& folder) {
  namespace fs = std::filesystem;
  std::error_code error;
  std::vector<ConfigFile> files;
  for (fs::directory_iterator it(folder, error), end; !error && it != end;
       it.increment(error)) {
    if (it->path().extension() != ".json") {
      continue;
    }
    std::ifstream in(it->path(), std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in) {
      return ConfigErrors{{it->path().filename().string(), "",
                           ConfigFault::kUnreadable, "cannot be read"}};
    }
    files.push_back({it->path().filename().string(), text.str()});
  }
  if (error) {
    return ConfigErrors{
        {folder, "", ConfigFault::kUnreadable, error.message()}};
  }
  std::ranges::sort(files, {}, &ConfigFile::name);
  return files;
}

const Rule* FindPrefixRule(const Configuration& configuration,
                           std::string_view host,
                           std::string_view path) {
  return configuration.rule_table == nullptr
             ? nullptr
             : configuration.rule_table->FindPrefix(host, path);
}

const Rule* FindRule(const Configuration& configuration,
                     std::string_view method,
                     std::string_view path) {
  return configuration.rule_table == nullptr
             ? nullptr
             : configuration.rule_table->Find(method, path);
}

}  // namespace yuccamast
