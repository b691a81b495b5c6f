// Proof that another instance knows the shared secret.
#pragma once

#include <random>
#include <string>

namespace rosemarycove {

// Makes and checks proofs: HMAC-SHA256 under the secret over the prover's role,
// the other side's nonce and the prover's name. The secret is never sent.
class PeerAuthenticator {
 public:
  explicit PeerAuthenticator(std::string secret);

  // A proof for the side that plays the role ("hello" or "welcome").
  [[nodiscard]] std::string MakeProof(const std::string& role,
                                      const std::string& nonce,
                                      const std::string& name) const;
  // Compares in constant time.
  [[nodiscard]] static bool EqualInConstantTime(const std::string& a,
                                                const std::string& b);
  // A text that was not used before.
  std::string MakeNonce();

 private:
  std::string secret;
  std::random_device random;
};

}  // namespace rosemarycove
