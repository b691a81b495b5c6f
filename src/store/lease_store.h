// Non-blocking writes, leases and reads of single keys in the platform's store.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "core/types.h"

namespace rosemarycove {

// A lease and the time to live that the store gave it, counted from the arrival
// of the call at the store. A key that is written with a lease is removed when
// the lease ends.
struct StoreLease {
  std::uint64_t id = 0;
  Duration ttl{};
};

// One key as the store has it.
struct StoreItem {
  std::string key;
  std::string value;
  // The revision of the last change, with the store's era; see
  // core/store_revision.h. 0 if the key does not exist.
  std::uint64_t revision = 0;
};

// A condition of a transaction: the last change of the key has this revision. 0
// means that the key must not exist.
struct KeyCondition {
  std::string key;
  std::uint64_t revision = 0;
};

struct KeyWrite {
  std::string key;
  std::string value;
  // The id of a lease; 0 for none.
  std::uint64_t lease = 0;
};

// All or nothing; at most 32 entries.
struct StoreTransaction {
  std::vector<KeyCondition> conditions;
  std::vector<KeyWrite> writes;
  std::vector<std::string> removals;
};

// Why a call has no result.
enum class LeaseStoreErrorKind : std::uint8_t {
  kNotExecuted,  // The store refused the call; nothing was done.
  // There is no usable response. The call may have been executed, or may be
  // executed seconds later if its conditions still hold.
  kUnknown,
  kConflict,  // A condition of the transaction does not hold.
  kNoLease,   // The lease has ended.
};

struct LeaseStoreError {
  LeaseStoreErrorKind kind = LeaseStoreErrorKind::kUnknown;
  std::string message;
  // The keys of the conditions as the store has them; for kConflict.
  std::vector<StoreItem> items;
};

// There is at most one call at a time. `done` is called exactly once, on the
// event loop, after the call has returned, unless the call is cancelled.
class LeaseStore {
 public:
  template <typename Result>
  using Done = std::function<void(tl::expected<Result, LeaseStoreError>)>;

  virtual ~LeaseStore() = default;
  virtual void GrantLease(Duration ttl, Done<StoreLease> done) = 0;
  // Returns the new time to live, counted from the arrival of this call.
  virtual void RenewLease(std::uint64_t lease, Done<Duration> done) = 0;
  // Ends the lease and removes its keys.
  virtual void EndLease(std::uint64_t lease, Done<bool> done) = 0;
  // Reads one key, linearizably. A key that does not exist has revision 0.
  virtual void Read(const std::string& key, Done<StoreItem> done) = 0;
  // Returns the revision of the transaction's writes.
  virtual void Commit(const StoreTransaction& transaction,
                      Done<std::uint64_t> done) = 0;
  // The highest era that a response has stated; see core/store_revision.h.
  [[nodiscard]] virtual std::uint64_t era() const = 0;
  [[nodiscard]] virtual bool is_busy() const = 0;
  // Drops the call in progress without calling its `done`.
  virtual void Cancel() = 0;
  // Fails the call in progress with kUnknown if it has timed out.
  virtual void Tick(TimePoint now) = 0;
};

}  // namespace rosemarycove
