#include "node/settings.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

#include "http/host_port.h"

namespace yuccamast {

namespace {

constexpr IntRange kPortRange{1, 65'535};
constexpr IntRange kThreadRange{1, 64};
constexpr IntRange kDepthRange{1, 64};
constexpr IntRange kBytesRange{1024, 1LL << 30};
constexpr IntRange kMemoryRange{16, 1LL << 20};
constexpr IntRange kCountRange{1, 1'000'000};
constexpr IntRange kMillisRange{1, 3'600'000};
constexpr IntRange kMicrosRange{0, 10'000'000};
constexpr double kMinSlotShare = 0.1;
constexpr IntRange kRecordsRange{1, 32};

std::uint16_t ReadPort(ObjectReader& reader, std::string_view key) {
  return static_cast<std::uint16_t>(reader.Int(key, kPortRange, std::nullopt));
}

std::string ReadIp(ObjectReader& reader,
                   std::string_view key,
                   const std::optional<std::string>& default_value) {
  std::string text = reader.String(key, default_value);
  boost::system::error_code error;
  boost::asio::ip::make_address(text, error);
  if (error) {
    reader.Report(key, FieldFault::kOutOfRange);
  }
  return text;
}

/// Reads an address written as `ip:port`. The port is 0 if the key is absent or
/// its text is empty.
boost::asio::ip::tcp::endpoint ReadAddress(ObjectReader& reader,
                                           std::string_view key) {
  const std::string text = reader.String(key, "");
  const auto endpoint = ParseHostPort(text);
  if (!endpoint && !text.empty()) {
    reader.Report(key, FieldFault::kOutOfRange);
  }
  return endpoint.value_or(boost::asio::ip::tcp::endpoint());
}

std::size_t ReadSize(ObjectReader& reader,
                     std::string_view key,
                     std::size_t default_value) {
  return static_cast<std::size_t>(
      reader.Int(key, kBytesRange, static_cast<std::int64_t>(default_value)));
}

Duration ReadMillis(ObjectReader& reader,
                    std::string_view key,
                    Duration default_value) {
  return reader.Millis(
      key, kMillisRange,
      std::chrono::duration_cast<std::chrono::milliseconds>(default_value)
          .count());
}

Duration ReadMicros(ObjectReader& reader,
                    std::string_view key,
                    Duration default_value) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(default_value)
          .count();
  return std::chrono::microseconds(reader.Int(key, kMicrosRange, micros));
}

/// Reads the member object `key`, if present, by calling `read_fields`. Errors
/// in it are reported with the key as prefix.
template <typename ReadFields>
void ReadGroup(ObjectReader& parent,
               std::string_view key,
               std::vector<FieldError>* errors,
               ReadFields read_fields) {
  const JsonValue* value = parent.Get(key);
  if (value == nullptr) {
    return;
  }
  ObjectReader reader(*value, std::string(key) + ".", errors);
  read_fields(reader);
  reader.Finish();
}

void ReadUpstream(ObjectReader& reader, NodeSettings& settings) {
  settings.upstreams_listed = reader.Bool("listed", false);
  if (settings.upstreams_listed) {
    const auto address = ReadAddress(reader, "address");
    settings.upstream_ip = address.address().to_string();
    settings.upstream_port = address.port();
  } else {
    settings.upstream = reader.String("name", std::nullopt);
    settings.upstream_ip = ReadIp(reader, "ip", settings.ip);
    settings.upstream_port = ReadPort(reader, "port");
  }
  settings.health_path = reader.String("health_path", "");
  UpstreamLimits& limits = settings.upstream_limits;
  limits.max_connections = static_cast<std::size_t>(
      reader.Int("max_connections", kCountRange,
                 static_cast<std::int64_t>(limits.max_connections)));
  limits.max_reply_bytes =
      ReadSize(reader, "max_reply_bytes", limits.max_reply_bytes);
  limits.connect_timeout =
      ReadMillis(reader, "connect_timeout_ms", limits.connect_timeout);
  limits.keep_idle = ReadMillis(reader, "keep_idle_ms", limits.keep_idle);
  limits.proven_alive =
      ReadMillis(reader, "proven_alive_ms", limits.proven_alive);
  limits.overrun = ReadMillis(reader, "overrun_ms", limits.overrun);
  limits.silence = ReadMillis(reader, "silence_ms", limits.silence);
}

void ReadCaller(ObjectReader& reader, CallerLimits& limits) {
  limits.max_head_bytes =
      ReadSize(reader, "max_head_bytes", limits.max_head_bytes);
  limits.max_body_bytes =
      ReadSize(reader, "max_body_bytes", limits.max_body_bytes);
  limits.head_timeout =
      ReadMillis(reader, "head_timeout_ms", limits.head_timeout);
  limits.body_timeout =
      ReadMillis(reader, "body_timeout_ms", limits.body_timeout);
  limits.idle_timeout =
      ReadMillis(reader, "idle_timeout_ms", limits.idle_timeout);
  limits.write_timeout =
      ReadMillis(reader, "write_timeout_ms", limits.write_timeout);
  limits.silence = ReadMillis(reader, "silence_ms", limits.silence);
  limits.max_connections = static_cast<std::size_t>(
      reader.Int("max_connections", kCountRange,
                 static_cast<std::int64_t>(limits.max_connections)));
  limits.max_pipelined = static_cast<std::size_t>(
      reader.Int("max_pipelined", kCountRange,
                 static_cast<std::int64_t>(limits.max_pipelined)));
  limits.max_pipelined_bytes =
      ReadSize(reader, "max_pipelined_bytes", limits.max_pipelined_bytes);
}

void ReadLink(ObjectReader& reader, LinkOptions& link) {
  link.ping_idle = ReadMillis(reader, "ping_idle_ms", link.ping_idle);
  link.ping_busy = ReadMillis(reader, "ping_busy_ms", link.ping_busy);
  link.silence_floor =
      ReadMillis(reader, "silence_floor_ms", link.silence_floor);
  link.connect_timeout =
      ReadMillis(reader, "connect_timeout_ms", link.connect_timeout);
  link.dead_after = ReadMillis(reader, "dead_after_ms", link.dead_after);
}

void ReadMembership(ObjectReader& reader, MembershipOptions& options) {
  options.probe_period =
      ReadMillis(reader, "probe_period_ms", options.probe_period);
  options.suspicion = ReadMillis(reader, "suspicion_ms", options.suspicion);
  options.records_per_message = static_cast<std::size_t>(
      reader.Int("records_per_message", kRecordsRange,
                 static_cast<std::int64_t>(options.records_per_message)));
}

void ReadPlatform(ObjectReader& reader, NodeSettings& settings) {
  settings.config_service.ip = ReadIp(reader, "config_ip", std::nullopt);
  settings.config_service.port = ReadPort(reader, "config_port");
  settings.vm_list.ip =
      ReadIp(reader, "vm_list_ip", settings.config_service.ip);
  settings.vm_list.port = static_cast<std::uint16_t>(
      reader.Int("vm_list_port", kPortRange, settings.config_service.port));
}

void ReadGroups(ObjectReader& reader,
                std::vector<FieldError>* errors,
                NodeSettings& settings) {
  ReadGroup(reader, "upstream", errors,
            [&](ObjectReader& group) { ReadUpstream(group, settings); });
  ReadGroup(reader, "caller", errors,
            [&](ObjectReader& group) { ReadCaller(group, settings.caller); });
  ReadGroup(reader, "link", errors,
            [&](ObjectReader& group) { ReadLink(group, settings.link); });
  ReadGroup(reader, "stop", errors, [&](ObjectReader& group) {
    settings.stop.admit = ReadMillis(group, "admit_ms", settings.stop.admit);
    settings.stop.announce =
        ReadMillis(group, "announce_ms", settings.stop.announce);
    settings.stop.drain = ReadMillis(group, "drain_ms", settings.stop.drain);
  });
  ReadGroup(reader, "distance", errors, [&](ObjectReader& group) {
    DistanceTable& table = settings.distance;
    table.same_data_centre =
        ReadMicros(group, "same_data_centre_us", table.same_data_centre);
    table.same_region = ReadMicros(group, "same_region_us", table.same_region);
    table.other_region =
        ReadMicros(group, "other_region_us", table.other_region);
  });
  ReadGroup(reader, "membership", errors, [&](ObjectReader& group) {
    ReadMembership(group, settings.membership);
  });
  if (const JsonValue* adapter = reader.Get("adapter")) {
    settings.adapter = *adapter;
  } else if (reader.Get("platform") == nullptr) {
    reader.Report("platform", FieldFault::kMissing);
  }
  ReadGroup(reader, "platform", errors,
            [&](ObjectReader& group) { ReadPlatform(group, settings); });
}

/// Reads the account of the node's memory.
std::size_t ReadMemory(ObjectReader& reader, std::size_t default_bytes) {
  const std::size_t bytes = ReadSize(reader, "memory_bytes", default_bytes);
  if (reader.Get("memory_mb") == nullptr) {
    return bytes;
  }
  const std::size_t budget = BudgetOfMachine(static_cast<std::size_t>(
      reader.Int("memory_mb", kMemoryRange, std::nullopt)));
  const bool is_capped = reader.Get("memory_bytes") != nullptr;
  return is_capped ? std::min(bytes, budget) : budget;
}

}  // namespace

std::size_t BudgetOfMachine(std::size_t memory_mb) {
  constexpr std::size_t kFixedMb = 80;
  const std::size_t least = memory_mb / 4;
  const std::size_t left = memory_mb > kFixedMb ? memory_mb - kFixedMb : 0;
  return std::max(left, least) << 20U;
}

Result<NodeSettings, SettingsError> ParseSettings(std::string_view text) {
  const auto json = ParseJson(text);
  if (!json) {
    return SettingsError{
        std::string(NameOf(json.error().fault)) + ": " + json.error().detail,
        {}};
  }
  std::vector<FieldError> errors;
  ObjectReader reader(json.value(), "", &errors);
  NodeSettings settings;
  settings.vm = reader.String("vm", std::nullopt);
  settings.ip = ReadIp(reader, "ip", std::nullopt);
  settings.data_centre = reader.String("data_centre", std::nullopt);
  settings.region = reader.String("region", "");
  const std::uint16_t caller_address_port =
      ReadAddress(reader, "caller_address").port();
  settings.caller_port = caller_address_port != 0
                             ? caller_address_port
                             : ReadPort(reader, "caller_port");
  settings.ready_port = ReadAddress(reader, "ready_address").port();
  settings.ready_path = reader.String("ready_path", "/health");
  settings.service = reader.String("service", "");
  settings.asks_load = reader.Bool("asks_load", false);
  settings.slot_share =
      reader.Double("slot_share", kMinSlotShare, 1.0, settings.slot_share);
  settings.inner_port = ReadPort(reader, "inner_port");
  settings.advertised_port = static_cast<std::uint16_t>(
      reader.Int("advertised_port", kPortRange, settings.inner_port));
  settings.control_port = ReadPort(reader, "control_port");
  settings.entry_threads = static_cast<std::uint32_t>(
      reader.Int("entry_threads", kThreadRange, settings.entry_threads));
  settings.shared_key = reader.String("shared_key", "");
  settings.max_depth = static_cast<std::uint32_t>(
      reader.Int("max_depth", kDepthRange, settings.max_depth));
  settings.memory_bytes = ReadMemory(reader, settings.memory_bytes);
  settings.log_level =
      reader.Name<LogLevel>("log_level", LogLevelFromName, settings.log_level);
  ReadGroups(reader, &errors, settings);
  reader.Finish();
  if (!errors.empty()) {
    return SettingsError{"fields", errors};
  }
  return settings;
}

}  // namespace yuccamast
