#include "net/peer_authenticator.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <utility>

namespace rosemarycove {
namespace {

// The number of random 32-bit numbers in a nonce.
constexpr int kNonceWords = 4;

}  // namespace

PeerAuthenticator::PeerAuthenticator(std::string secret)
    : secret(std::move(secret)) {}

std::string PeerAuthenticator::MakeProof(const std::string& role,
                                         const std::string& nonce,
                                         const std::string& name) const {
  const std::string text = role + '\n' + nonce + '\n' + name;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), this->secret.data(), static_cast<int>(this->secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &size);
  return {reinterpret_cast<const char*>(digest.data()), size};
}

bool PeerAuthenticator::EqualInConstantTime(const std::string& a,
                                            const std::string& b) {
  return a.size() == b.size() && !a.empty() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string PeerAuthenticator::MakeNonce() {
  std::string nonce;
  for (int i = 0; i < kNonceWords; ++i) {
    nonce += std::to_string(this->random()) + ".";
  }
  return nonce;
}

}  // namespace rosemarycove
