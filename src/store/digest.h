// Cryptographic digests.
#pragma once

#include <string>
#include <string_view>

namespace rosemarycove {

// Returns the SHA-256 digest in lower-case hexadecimal.
std::string Sha256Hex(std::string_view text);

}  // namespace rosemarycove
