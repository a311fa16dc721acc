#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

/// \file document_codec.h
/// Compresses documents for transfer between nodes, as the difference from an
/// earlier version where both ends hold one. Uses zstd.
///
/// The base is passed to zstd as a prefix of the text: parts of the text that
/// also occur in the base are sent as references to it, so the size of the
/// result follows what has changed and not the size of the document. Time and
/// memory are linear in the sizes of text and base.

namespace yuccamast {

/// Compresses `text`. `base` may be empty; `DecompressDocument` needs the same
/// one. Nothing if zstd fails, such as for lack of memory. Thread-safe.
std::optional<std::string> CompressDocument(std::string_view text,
                                            std::string_view base);

/// The inverse of `CompressDocument`. Nothing if `data` is malformed, was
/// compressed with another base, or holds more than `max_bytes` of text.
/// Thread-safe.
std::optional<std::string> DecompressDocument(std::string_view data,
                                              std::string_view base,
                                              std::size_t max_bytes);

}  // namespace yuccamast
