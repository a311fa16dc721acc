#pragma once

#include <boost/beast/http/message.hpp>

/// \file reply_head.h
/// Checks heads of replies for what Beast's parser accepts although it is not
/// valid HTTP.

namespace yuccamast {

/// Whether `head` is valid: the status is in the range of status codes, 100 to
/// 599 (RFC 9110, section 15). Thread-safe.
bool IsValidReplyHead(const boost::beast::http::response_header<>& head);

}  // namespace yuccamast
