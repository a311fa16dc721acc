#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

/// \file host_port.h
/// Parses an IP address with a port.

namespace yuccamast {

/// The endpoint of `ip:port`, split at the last colon, or nothing if the text
/// is malformed or the port is not in 1 to 65535. An IPv6 address is written
/// without brackets. Host names are not resolved. Thread-safe.
std::optional<boost::asio::ip::tcp::endpoint> ParseHostPort(
    std::string_view text);

}  // namespace yuccamast
