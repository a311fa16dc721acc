#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "yuccamast/clock.h"

/// \file tcp_options.h
/// TCP socket options: Nagle's algorithm off, and detection of a lost network
/// path or other end.

namespace yuccamast {

/// Disables Nagle's algorithm (TCP_NODELAY), and makes the kernel fail the
/// connection when its other end has acknowledged nothing for about `timeout`:
/// with unacknowledged data by TCP_USER_TIMEOUT, otherwise by keepalive probes
/// (SO_KEEPALIVE). Keepalive intervals are whole seconds, one at least, so a
/// very short `timeout` is exceeded on an idle connection. Errors are ignored,
/// since the socket works without the options.
///
/// Precondition: the socket is open. Use from the socket's thread.
void SetTcpOptions(boost::asio::ip::tcp::socket& socket, Duration timeout);

}  // namespace yuccamast
