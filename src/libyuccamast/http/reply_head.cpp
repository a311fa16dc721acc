#include "http/reply_head.h"

#include <algorithm>

#include "http/fields.h"

namespace yuccamast {

namespace http = boost::beast::http;

namespace {

/// Whether a line of `text` begins with a blank or a tab.
bool HasFoldedLine(std::string_view text) {
  const auto at = std::ranges::adjacent_find(text, [](char a, char b) {
    return a == '\n' && (b == ' ' || b == '\t');
  });
  return at != text.end();
}

/// Whether the body has no transfer coding other than `chunked`.
bool HasKnownTransferCoding(const http::response_header<>& head) {
  const auto [first, last] = head.equal_range(http::field::transfer_encoding);
  const auto is_chunked = [](const auto& field) {
    return EqualIgnoreCase(std::string(field.value()), "chunked");
  };
  return std::all_of(first, last, is_chunked);
}

}  // namespace

bool IsValidReplyHead(std::string_view text,
                      const http::response_header<>& head) {
  constexpr unsigned kMinStatus = 100;
  constexpr unsigned kMaxStatus = 599;
  return head.result_int() >= kMinStatus && head.result_int() <= kMaxStatus &&
         !HasFoldedLine(text) && HasKnownTransferCoding(head);
}

}  // namespace yuccamast
