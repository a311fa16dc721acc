#pragma once

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <string>
#include <string_view>

/// \file reply_head.h
/// Checks heads of replies for what Beast's parser accepts although it must not
/// be passed on.
///
/// The parser joins a line that begins with a blank or a tab to the field
/// before it (obsolete line folding). A gateway may refuse such a reply (RFC
/// 9112, section 5.2). It is refused here, since the line may be a field whose
/// name was spoilt: its text would become part of another field, and a length
/// that it gives would be lost. The parsed fields do not show that lines were
/// joined, so `ReplyBuffer` keeps the text of the head.
///
/// The parser decodes the transfer coding `chunked` and leaves a body with any
/// other one as it is, for its user to decode. Transfer-Encoding is not passed
/// on, so such a body would be taken for the decoded one.

namespace yuccamast {

/// A read buffer that keeps the text of a head that a parser reads from it. Not
/// thread-safe.
class ReplyBuffer : public boost::beast::flat_buffer {
 public:
  /// `max_size` is the size in bytes that the buffer may grow to.
  explicit ReplyBuffer(std::size_t max_size) : Base(max_size) {}

  /// What is consumed from now on is the head. Forgets the one before.
  void StartHead() {
    m_in_head = true;
    m_head.clear();
  }

  /// Ends the head and returns its text, which is valid until `StartHead`.
  std::string_view EndHead() {
    m_in_head = false;
    return m_head;
  }

  /// Removes bytes that a parser has read. Beast's read operations are
  /// templates on the type of the buffer, so they call this and not the base
  /// class's.
  void consume(std::size_t size) {  // NOLINT(readability-identifier-naming)
    if (m_in_head) {
      m_head.append(static_cast<const char*>(data().data()),
                    std::min(size, data().size()));
    }
    Base::consume(size);
  }

 private:
  using Base = boost::beast::flat_buffer;

  bool m_in_head = false;
  std::string m_head;
};

/// Whether a head is valid: its status is in the range of status codes, 100 to
/// 599 (RFC 9110, section 15), no line is folded, and there is no transfer
/// coding but `chunked`. `text` is the whole head as received and `head` its
/// parsed form. Thread-safe.
bool IsValidReplyHead(std::string_view text,
                      const boost::beast::http::response_header<>& head);

}  // namespace yuccamast
