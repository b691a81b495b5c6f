#include "core/request_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace rosemarycove {

std::uint64_t RequestHash(const RequestContent& content) {
  // Each field is seeded with the hash of those before it, so that bytes can't
  // move from one field to the next.
  std::uint64_t hash = 0;
  for (const std::string_view field :
       {content.method, content.target, content.host, content.caller,
        content.body}) {
    hash = XXH3_64bits_withSeed(field.data(), field.size(), hash);
  }
  return hash;
}

std::uint64_t RequestHash(std::uint64_t content_hash,
                          std::span<const PromptPart> parts) {
  std::uint64_t hash = content_hash;
  for (const PromptPart& part : parts) {
    hash = XXH3_64bits_withSeed(&part.id, sizeof part.id, hash);
  }
  return hash;
}

}  // namespace rosemarycove
