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

constexpr std::chrono::milliseconds kTimeout{5000};
constexpr std::int64_t kMaxPort = 65'535;

/// Fetches a page of the control address, or prints why it cannot.
std::optional<std::string> ReadPage(const std::string& address,
                                    const std::string& page,
                                    int& code) {
  const std::size_t colon = address.rfind(':');
  const auto port = colon == std::string::npos
                        ? std::nullopt
                        : ParseCount(address.substr(colon + 1));
  if (!port || *port < 1 || *port > kMaxPort) {
    std::cerr << "expected IP:PORT, not " << address << "\n";
    code = kUsageError;
    return std::nullopt;
  }
  HttpFetcher fetcher(address.substr(0, colon),
                      static_cast<std::uint16_t>(*port));
  const auto text = fetcher.Get(page, kTimeout);
  if (!text) {
    std::cerr << "no answer from " << address << ": " << text.error().detail
              << "\n";
    code = 1;
    return std::nullopt;
  }
  return text.value();
}

int Dump(const std::string& address) {
  int code = 0;
  const auto text = ReadPage(address, "/dump", code);
  std::cout << text.value_or("");
  return code;
}

std::string TextOf(const JsonValue& row, std::string_view key) {
  const JsonValue* value = row.Find(key);
  if (value == nullptr) {
    return "-";
  }
  return value->AsString() != nullptr ? *value->AsString() : WriteJson(*value);
}

int PrintStatus(const JsonValue::Array& members) {
  std::int64_t newest = 0;
  std::ranges::for_each(members, [&](const JsonValue& row) {
    const JsonValue* revision = row.Find("config_revision");
    if (revision != nullptr && revision->AsInt() != nullptr) {
      newest = std::max(newest, *revision->AsInt());
    }
  });
  std::size_t lagging = 0;
  std::ranges::for_each(members, [&](const JsonValue& row) {
    const bool lags = TextOf(row, "config_revision") != std::to_string(newest);
    lagging += lags ? 1 : 0;
    std::cout << "vm=" << TextOf(row, "vm") << " state=" << TextOf(row, "state")
              << " leaving=" << TextOf(row, "leaving")
              << " data_centre=" << TextOf(row, "data_centre")
              << " config_revision=" << TextOf(row, "config_revision")
              << " heard_ms=" << TextOf(row, "heard_ms")
              << (lags ? " lags=true" : "") << "\n";
  });
  std::cout << "status members=" << members.size()
            << " newest_revision=" << newest << " lagging=" << lagging << "\n";
  return lagging == 0 ? 0 : 1;
}

int Status(const std::string& address) {
  int code = 0;
  const auto text = ReadPage(address, "/status", code);
  if (!text) {
    return code;
  }
  const auto json = ParseJson(*text);
  if (!json || json.value().AsArray() == nullptr) {
    std::cerr << "the answer of " << address << " is malformed\n";
    return 1;
  }
  return PrintStatus(*json.value().AsArray());
}

int WithAddress(cxxopts::Options& options,
                int argc,
                char** argv,
                const std::function<int(const std::string&)>& body) {
  options.positional_help("IP:PORT");
  options.add_options()("address", "Control address of the node.",
                        cxxopts::value<std::string>());
  options.parse_positional({"address"});
  return WithArguments(options, argc, argv, [&](const auto& parsed) {
    return body(parsed["address"].template as<std::string>());
  });
}

}  // namespace

int RunDump(int argc, char** argv) {
  cxxopts::Options options("yuccamast dump",
                           "Prints the whole state of a node as JSON. The "
                           "address is the node's control address.");
  return WithAddress(options, argc, argv, Dump);
}

int RunStatus(int argc, char** argv) {
  cxxopts::Options options("yuccamast status",
                           "Prints a line for each member of the fleet as one "
                           "node sees it. Exit code 1 if a member is behind "
                           "the newest configuration.");
  return WithAddress(options, argc, argv, Status);
}

}  // namespace yuccamast
