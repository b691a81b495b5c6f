// Challenge-response authentication between instances.
#pragma once

#include <random>
#include <string>

namespace rosemarycove {

// Makes and compares the proofs with which two instances show each other that
// they know the shared secret. A proof is an HMAC-SHA256 under the secret over
// the prover's role, the other side's nonce and the prover's name. PeerLinks
// owns it and uses it on the links' thread only.
class PeerAuthenticator {
 public:
  explicit PeerAuthenticator(std::string secret);

  // Returns the proof of the side with this role: "hello" for the side that
  // connects and "welcome" for the one that accepts, as their messages are
  // called. `nonce` is the other side's and `name` the prover's.
  [[nodiscard]] std::string MakeProof(const std::string& role,
                                      const std::string& nonce,
                                      const std::string& name) const;
  // Compares two proofs in constant time, so that the time does not reveal how
  // much of a forged proof is right. Empty proofs are never equal.
  [[nodiscard]] static bool EqualInConstantTime(const std::string& a,
                                                const std::string& b);
  // Returns a fresh random nonce.
  std::string MakeNonce();

 private:
  std::string secret;
  std::random_device random;
};

}  // namespace rosemarycove
