#include <iostream>
#include <optional>

#include "arguments.h"
#include "commands.h"
#include "http/fields.h"
#include "platform/http_fetch.h"

namespace yuccamast {

namespace {

constexpr std::chrono::milliseconds kTimeout{5000};
constexpr std::int64_t kMaxPort = 65'535;

int Dump(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  const auto port = colon == std::string::npos
                        ? std::nullopt
                        : ParseCount(address.substr(colon + 1));
  if (!port || *port < 1 || *port > kMaxPort) {
    std::cerr << "expected IP:PORT, not " << address << "\n";
    return kUsageError;
  }
  HttpFetcher fetcher(address.substr(0, colon),
                      static_cast<std::uint16_t>(*port));
  const auto text = fetcher.Get("/dump", kTimeout);
  if (!text) {
    std::cerr << "no dump from " << address << ": " << text.error().detail
              << "\n";
    return 1;
  }
  std::cout << text.value();
  return 0;
}

}  // namespace

int RunDump(int argc, char** argv) {
  cxxopts::Options options("yuccamast dump",
                           "Prints the whole state of a node as JSON. The "
                           "address is the node's control address.");
  options.positional_help("IP:PORT");
  options.add_options()("address", "Control address of the node.",
                        cxxopts::value<std::string>());
  options.parse_positional({"address"});
  return WithArguments(options, argc, argv, [](const auto& parsed) {
    return Dump(parsed["address"].template as<std::string>());
  });
}

}  // namespace yuccamast
