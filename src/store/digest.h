// Digests of texts.
#pragma once

#include <string>
#include <string_view>

namespace rosemarycove {

// SHA-256 in lower-case hexadecimal.
std::string Sha256Hex(std::string_view text);

}  // namespace rosemarycove
