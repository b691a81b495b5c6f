// The right of one instance to act for the whole fleet at the platform.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// What a call of the holder has to state.
struct DutyGrant {
  // The fencing token: it is higher for each later holder, also after the store
  // was restored from an older copy.
  std::uint64_t token = 0;
  // The store's key that names the holder, and its revision for this holder. A
  // transaction with this condition succeeds only while this holder holds.
  std::string claim_key;
  std::uint64_t claim_revision = 0;

  bool operator==(const DutyGrant&) const = default;
};

// Tells whether this instance is the holder. Used on the event loop.
class DutyTenure {
 public:
  virtual ~DutyTenure() = default;
  // Returns the grant if this instance is the holder and has enough time left
  // for a call. Must be asked immediately before each call: the process may
  // have been frozen since the last one. Nullopt otherwise.
  [[nodiscard]] virtual std::optional<DutyGrant> Grant(TimePoint now) const = 0;
  // The platform rejected a call with this token since it has seen a higher
  // one. Nothing more is sent with this token.
  virtual void OnFenced(std::uint64_t token, TimePoint now) = 0;
};

// Something that the holder does. The service that owns the tenure ticks all
// tasks.
class DutyTask {
 public:
  virtual ~DutyTask() = default;
  // Called several times per second at every instance, holder or not.
  virtual void Tick(DutyTenure& tenure, TimePoint now) = 0;
  // Returns whether a call to the platform is in progress or its outcome is not
  // known yet. A planned stop waits for idle tasks before it hands the duty
  // over.
  [[nodiscard]] virtual bool is_idle() const = 0;
};

}  // namespace rosemarycove
