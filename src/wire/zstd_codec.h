// Compresses documents with Zstandard.
#pragma once

#include "core/document_codec.h"

namespace rosemarycove {

// The base of a document is the prefix that the compressor refers to.
class ZstdCodec : public DocumentCodec {
 public:
  [[nodiscard]] std::string Compress(std::string_view value,
                                     std::string_view base) const override;
  [[nodiscard]] std::optional<std::string> Restore(
      std::string_view bytes, std::string_view base,
      std::size_t size) const override;
};

}  // namespace rosemarycove
