// Identifies requests that are the same but for their ids.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "core/prompt_cache_map.h"

namespace rosemarycove {

// What makes two requests the same. Valid as long as the request.
struct RequestContent {
  std::string_view method;
  // Path and query.
  std::string_view target;
  std::string_view host;
  // The customer; empty if there is none.
  std::string_view caller;
  std::string_view body;
};

// Returns a hash of the request; the same at every instance.
std::uint64_t RequestHash(const RequestContent& content);
// Returns a hash of the request together with all parts of its prompt.
std::uint64_t RequestHash(std::uint64_t content_hash,
                          std::span<const PromptPart> parts);

}  // namespace rosemarycove
