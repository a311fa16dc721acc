#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "yuccamast/clock.h"

/// \file tcp_options.h
/// Lets the kernel notice a connection whose path was lost.

namespace yuccamast {

/// Sends as soon as possible, and closes the connection if its other end has
/// not acknowledged anything for about `bound`, whether bytes wait to be
/// acknowledged or not. Errors are ignored: the socket works without.
void SetTcpOptions(boost::asio::ip::tcp::socket& socket, Duration bound);

}  // namespace yuccamast
