// Claims on idempotency keys, so that each call runs at most once.
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
  // SHA-256 of the request's content.
  std::string fingerprint;
  // Id of the claiming request; unique across instances and restarts.
  std::string owner;
};

// Decides which request may run under an idempotency key. Implementations are
// thread-safe.
class ClaimStore {
 public:
  virtual ~ClaimStore() = default;
  // Claims the key. Blocks until the key's owner is known or can't be
  // determined.
  virtual ClaimResult Claim(const IdempotencyClaim& claim) = 0;
};

// Keeps claims in process memory, for an instance without a store.
class InMemoryClaimStore : public ClaimStore {
 public:
  ClaimResult Claim(const IdempotencyClaim& claim) override;

 private:
  std::mutex mutex;
  std::map<std::string, std::string> fingerprints;
};

// Keeps claims in the platform's store, where they outlive the instances.
class SharedClaimStore : public ClaimStore {
 public:
  explicit SharedClaimStore(KeyValueStore& store);
  ClaimResult Claim(const IdempotencyClaim& claim) override;

 private:
  // Finds the key's owner after a write that conflicted or whose response was
  // lost.
  ClaimResult ReadOwner(const std::string& store_key,
                        const IdempotencyClaim& claim);

  KeyValueStore& store;
};

}  // namespace rosemarycove
