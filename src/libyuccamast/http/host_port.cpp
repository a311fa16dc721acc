#include "http/host_port.h"

#include "http/fields.h"

namespace yuccamast {

std::optional<boost::asio::ip::tcp::endpoint> ParseHostPort(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto address =
      boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
  const std::int64_t port = ParseCount(text.substr(colon + 1)).value_or(0);
  if (error || port < 1 || port > UINT16_MAX) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address,
                                        static_cast<std::uint16_t>(port));
}

}  // namespace yuccamast
