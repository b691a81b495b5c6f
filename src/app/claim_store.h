// Claims on idempotency keys, so that a call runs at most once.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "core/events.h"
#include "store/key_value_store.h"

namespace rosemarycove {

// A request's claim on a customer's idempotency key.
struct IdempotencyClaim {
  std::string customer;
  std::string key;
  // SHA-256 of what was asked.
  std::string fingerprint;
  // Names the request that claims; unique over instances and restarts.
  std::string owner;
};

// Decides which request may run under a key.
class ClaimStore {
 public:
  virtual ~ClaimStore() = default;
  // Claims the key. Blocks until it is known who holds it, or that nothing
  // can be known.
  virtual ClaimResult Claim(const IdempotencyClaim& claim) = 0;
};

// Keeps claims in this process; for an instance that runs alone.
class InMemoryClaimStore : public ClaimStore {
 public:
  ClaimResult Claim(const IdempotencyClaim& claim) override;

 private:
  std::mutex mutex;
  std::map<std::string, std::string> fingerprints;
};

// Keeps claims in the platform's store, where they outlast every instance.
class SharedClaimStore : public ClaimStore {
 public:
  explicit SharedClaimStore(KeyValueStore& store);
  ClaimResult Claim(const IdempotencyClaim& claim) override;

 private:
  ClaimResult ReadBack(const std::string& store_key,
                       const IdempotencyClaim& claim);

  KeyValueStore& store;
};

}  // namespace rosemarycove
