#include "app/claim_store.h"

#include <nlohmann/json.hpp>

#include "store/digest.h"
#include "wire/json_decoder.h"

namespace rosemarycove {
namespace {

using nlohmann::json;

// Reads attempted before the owner of a key counts as unavailable.
constexpr int kMaxOwnerReads = 3;

std::string StoreKey(const IdempotencyClaim& claim) {
  return "claims/" + Sha256Hex(claim.customer + '\n' + claim.key);
}

}  // namespace

ClaimResult InMemoryClaimStore::Claim(const IdempotencyClaim& claim) {
  const std::lock_guard lock(this->mutex);
  const auto [found, is_new] =
      this->fingerprints.try_emplace(StoreKey(claim), claim.fingerprint);
  if (is_new) {
    return ClaimResult::kClaimed;
  }
  return found->second == claim.fingerprint
             ? ClaimResult::kIdempotencyKeyTaken
             : ClaimResult::kIdempotencyKeyReused;
}

SharedClaimStore::SharedClaimStore(KeyValueStore& store) : store(store) {}

ClaimResult SharedClaimStore::Claim(const IdempotencyClaim& claim) {
  const std::string key = StoreKey(claim);
  const json value = {{"owner", claim.owner},
                      {"fingerprint", claim.fingerprint}};
  const auto written = this->store.CompareAndSwap(key, 0, value.dump());
  if (written) {
    return ClaimResult::kClaimed;
  }
  if (written.error().kind == StoreErrorKind::kUnavailable) {
    return ClaimResult::kUnavailable;
  }
  return this->ReadOwner(key, claim);
}

ClaimResult SharedClaimStore::ReadOwner(const std::string& store_key,
                                        const IdempotencyClaim& claim) {
  for (int i = 0; i < kMaxOwnerReads; ++i) {
    const auto read = this->store.Get(store_key);
    if (!read) {
      continue;
    }
    const auto owner =
        JsonDecoder().DecodeObject(read->value, [](const JsonFields& fields) {
          return IdempotencyClaim{.fingerprint = fields.String("fingerprint"),
                                  .owner = fields.String("owner")};
        });
    if (read->version == 0 || !owner) {
      // The write may still reach the store, so its result is unknown.
      return ClaimResult::kUnavailable;
    }
    if (owner->owner == claim.owner) {
      return ClaimResult::kClaimed;
    }
    return owner->fingerprint == claim.fingerprint
               ? ClaimResult::kIdempotencyKeyTaken
               : ClaimResult::kIdempotencyKeyReused;
  }
  return ClaimResult::kUnavailable;
}

}  // namespace rosemarycove
