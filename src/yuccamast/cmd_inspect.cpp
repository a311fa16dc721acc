#include <algorithm>
#include <iostream>
#include <optional>

#include "arguments.h"
#include "commands.h"
#include "http/fields.h"
#include "source/http_fetcher.h"
#include "yuccamast/json_value.h"

namespace yuccamast {

namespace {

/// Timeout of a request to the control address.
constexpr std::chrono::milliseconds kRequestTimeout{5000};
constexpr std::int64_t kMaxPort = 65'535;

/// Fetches the page `path` from the control address `address` (`IP:PORT`). On
/// failure prints the reason to standard error, sets `exit_code` and returns
/// nothing.
std::optional<std::string> FetchPage(const std::string& address,
                                     const std::string& path,
                                     int& exit_code) {
  const std::size_t colon = address.rfind(':');
  const auto port = colon == std::string::npos
                        ? std::nullopt
                        : ParseCount(address.substr(colon + 1));
  if (!port || *port < 1 || *port > kMaxPort) {
    std::cerr << "invalid control address \"" << address
              << "\", expected IP:PORT\n";
    exit_code = kUsageError;
    return std::nullopt;
  }
  HttpFetcher fetcher(address.substr(0, colon),
                      static_cast<std::uint16_t>(*port));
  const auto text = fetcher.Get(path, kRequestTimeout);
  if (!text) {
    std::cerr << "cannot read the state of the node at control address "
              << address << ": " << text.error().detail << "\n";
    exit_code = 1;
    return std::nullopt;
  }
  return text.value();
}

/// Fetches the page /dump and prints it unchanged. Returns the exit code.
int Dump(const std::string& address) {
  int exit_code = 0;
  const auto text = FetchPage(address, "/dump", exit_code);
  std::cout << text.value_or("");
  return exit_code;
}

/// The member `key` of `object` as text, or "-" if it is absent.
std::string FieldText(const JsonValue& object, std::string_view key) {
  const JsonValue* value = object.Find(key);
  if (value == nullptr) {
    return "-";
  }
  return value->AsString() != nullptr ? *value->AsString() : WriteJson(*value);
}

/// Prints a line for each member, with `lags=true` if its configuration
/// revision is not the newest of all, and a summary. Returns the exit code, 1
/// if any member lags.
int PrintStatus(const JsonValue::Array& members) {
  std::int64_t newest = 0;
  std::ranges::for_each(members, [&](const JsonValue& member) {
    const JsonValue* revision = member.Find("config_revision");
    if (revision != nullptr && revision->AsInt() != nullptr) {
      newest = std::max(newest, *revision->AsInt());
    }
  });
  std::size_t lagging = 0;
  std::ranges::for_each(members, [&](const JsonValue& member) {
    const bool lags =
        FieldText(member, "config_revision") != std::to_string(newest);
    lagging += lags ? 1 : 0;
    std::cout << "vm=" << FieldText(member, "vm")
              << " state=" << FieldText(member, "state")
              << " leaving=" << FieldText(member, "leaving")
              << " data_centre=" << FieldText(member, "data_centre")
              << " config_revision=" << FieldText(member, "config_revision")
              << " heard_ms=" << FieldText(member, "heard_ms")
              << (FieldText(member, "evacuated") == "true" ? " evacuated=true"
                                                           : "")
              << (lags ? " lags=true" : "") << "\n";
  });
  std::cout << "status members=" << members.size()
            << " newest_revision=" << newest << " lagging=" << lagging << "\n";
  return lagging == 0 ? 0 : 1;
}

/// Fetches the page /status and prints it as lines of text. Returns the exit
/// code.
int Status(const std::string& address) {
  int exit_code = 0;
  const auto text = FetchPage(address, "/status", exit_code);
  if (!text) {
    return exit_code;
  }
  const auto json = ParseJson(*text);
  if (!json || json.value().AsArray() == nullptr) {
    std::cerr << "malformed reply from " << address
              << ": /status is not a JSON array\n";
    return 1;
  }
  return PrintStatus(*json.value().AsArray());
}

/// Parses the control address as the only positional argument and calls `body`
/// with it. Returns the exit code.
int ParseAddressAndRun(cxxopts::Options& options,
                       int argc,
                       char** argv,
                       const std::function<int(const std::string&)>& body) {
  options.positional_help("IP:PORT");
  options.add_options()("address", "Control address of the node.",
                        cxxopts::value<std::string>());
  options.parse_positional({"address"});
  return ParseAndRun(options, argc, argv, [&](const auto& parsed) {
    return body(parsed["address"].template as<std::string>());
  });
}

}  // namespace

int RunDump(int argc, char** argv) {
  cxxopts::Options options("yuccamast dump",
                           "Prints the state of a node as JSON, read from "
                           "its control address.");
  return ParseAddressAndRun(options, argc, argv, Dump);
}

int RunStatus(int argc, char** argv) {
  cxxopts::Options options("yuccamast status",
                           "Prints a line for each member of the fleet as one "
                           "node sees it. Exit code 1 if a member does not "
                           "have the newest configuration revision.");
  return ParseAddressAndRun(options, argc, argv, Status);
}

}  // namespace yuccamast
