#include "store/digest.h"

#include <openssl/evp.h>

#include <array>

namespace rosemarycove {

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  for (unsigned int i = 0; i < size; ++i) {
    hex += kDigits[digest[i] >> 4U];
    hex += kDigits[digest[i] & 15U];
  }
  return hex;
}

}  // namespace rosemarycove
