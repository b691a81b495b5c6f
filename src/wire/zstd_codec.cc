#include "wire/zstd_codec.h"

#include <zstd.h>

#include <algorithm>
#include <bit>
#include <memory>
#include <new>

namespace rosemarycove {
namespace {

// Differences are as small at higher levels, which take more memory and time.
constexpr int kLevel = 1;
constexpr int kMinWindowLog = 10;
constexpr int kMaxWindowLog = 23;

struct FreeCompressor {
  void operator()(ZSTD_CCtx* context) const { ZSTD_freeCCtx(context); }
};
struct FreeDecompressor {
  void operator()(ZSTD_DCtx* context) const { ZSTD_freeDCtx(context); }
};

// The window has to reach back to the start of the base.
int WindowLog(std::size_t bytes) {
  return std::clamp(static_cast<int>(std::bit_width(bytes)), kMinWindowLog,
                    kMaxWindowLog);
}

}  // namespace

std::string ZstdCodec::Compress(std::string_view value,
                                std::string_view base) const {
  const std::unique_ptr<ZSTD_CCtx, FreeCompressor> context(ZSTD_createCCtx());
  if (!context) {
    throw std::bad_alloc();
  }
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, kLevel);
  ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                         WindowLog(value.size() + base.size()));
  ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
  std::string bytes(ZSTD_compressBound(value.size()), '\0');
  // Can't fail: the destination has room for any result.
  bytes.resize(ZSTD_compress2(context.get(), bytes.data(), bytes.size(),
                              value.data(), value.size()));
  bytes.shrink_to_fit();
  return bytes;
}

std::optional<std::string> ZstdCodec::Restore(std::string_view bytes,
                                              std::string_view base,
                                              std::size_t size) const {
  if (ZSTD_getFrameContentSize(bytes.data(), bytes.size()) != size) {
    return std::nullopt;
  }
  const std::unique_ptr<ZSTD_DCtx, FreeDecompressor> context(ZSTD_createDCtx());
  if (!context) {
    throw std::bad_alloc();
  }
  ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
  std::string value(size, '\0');
  const std::size_t written = ZSTD_decompressDCtx(
      context.get(), value.data(), value.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(written) != 0 || written != size) {
    return std::nullopt;
  }
  return value;
}

}  // namespace rosemarycove
