#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

/// \file host_port.h
/// Reads an IP number with a port.

namespace yuccamast {

/// The endpoint that `ip:port` names, or nothing. Host names are not resolved.
std::optional<boost::asio::ip::tcp::endpoint> ParseHostPort(
    std::string_view text);

}  // namespace yuccamast
