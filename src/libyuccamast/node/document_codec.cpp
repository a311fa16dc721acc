#include "node/document_codec.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>

namespace yuccamast {

namespace {

/// The fastest regular level. Documents are compressed on the path of a change,
/// on small VMs.
constexpr int kCompressionLevel = 1;
/// Limits of the logarithm of the window, which has to span base and text.
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 27;

using CompressContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
using DecompressContext = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

int WindowLogFor(std::size_t bytes) {
  return std::clamp(static_cast<int>(std::bit_width(bytes)), kMinWindowLog,
                    kMaxWindowLog);
}

}  // namespace

std::optional<std::string> CompressDocument(std::string_view text,
                                            std::string_view base) {
  const CompressContext context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
  if (context == nullptr) {
    return std::nullopt;
  }
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel,
                         kCompressionLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                         WindowLogFor(text.size() + base.size()));
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
  if (!base.empty()) {
    // Finds the parts in common anywhere in a large base.
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  }
  std::string data(ZSTD_compressBound(text.size()), '\0');
  const std::size_t size = ZSTD_compress2(
      context.get(), data.data(), data.size(), text.data(), text.size());
  if (ZSTD_isError(size) != 0) {
    return std::nullopt;
  }
  data.resize(size);
  data.shrink_to_fit();
  return data;
}

std::optional<std::string> DecompressDocument(std::string_view data,
                                              std::string_view base,
                                              std::size_t max_bytes) {
  const unsigned long long size =
      ZSTD_getFrameContentSize(data.data(), data.size());
  if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR ||
      size > max_bytes) {
    return std::nullopt;
  }
  const DecompressContext context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
  if (context == nullptr) {
    return std::nullopt;
  }
  ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, kMaxWindowLog);
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string text(size, '\0');
  const std::size_t written = ZSTD_decompressDCtx(
      context.get(), text.data(), text.size(), data.data(), data.size());
  if (ZSTD_isError(written) != 0 || written != text.size()) {
    return std::nullopt;
  }
  return text;
}

}  // namespace yuccamast
