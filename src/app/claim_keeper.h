// Claims on idempotency keys, so that a call runs at most once.
#pragma once

#include <map>
#include <mutex>
#include <string>

#include "core/events.h"
#include "store/key_value_store.h"

namespace rosemarycove {

// A request's claim on a customer's idempotency key.
struct Claim {
  std::string customer;
  std::string key;
  // SHA-256 of what was asked.
  std::string fingerprint;
  // Names the request that claims; unique over instances and restarts.
  std::string owner;
};

// Decides which request may run under a key.
class ClaimKeeper {
 public:
  virtual ~ClaimKeeper() = default;
  // Claims the key. Blocks until it is known who holds it, or that nothing
  // can be known.
  virtual ClaimResult Claim(const struct Claim& claim) = 0;
};

// Keeps claims in this process; for an instance that runs alone.
class LocalClaimKeeper : public ClaimKeeper {
 public:
  ClaimResult Claim(const struct Claim& claim) override;

 private:
  std::mutex mutex;
  std::map<std::string, std::string> fingerprints;
};

// Keeps claims in the platform's store, where they outlast every instance.
class StoreClaimKeeper : public ClaimKeeper {
 public:
  explicit StoreClaimKeeper(KeyValueStore& store);
  ClaimResult Claim(const struct Claim& claim) override;

 private:
  ClaimResult ReadBack(const std::string& store_key, const struct Claim& claim);

  KeyValueStore& store;
};

}  // namespace rosemarycove
