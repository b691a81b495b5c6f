// Where the callers' interface hands in requests.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/events.h"
#include "core/resources.h"
#include "http/pending_request.h"

namespace rosemarycove {

// The node as the callers' interface sees it. Safe from any thread.
class CallerApiHost {
 public:
  virtual ~CallerApiHost() = default;

  // A number that names a new request of this process.
  virtual RequestId NextRequestId() = 0;
  // Hands a request to the core. The outcome comes to the pending.
  virtual void Submit(RequestArrived arrived,
                      const std::shared_ptr<PendingRequest>& pending) = 0;
  // Tells the core that a caller has gone.
  virtual void OnCallerDisconnected(RequestId id) = 0;
  // The customer whose key has this SHA-256.
  [[nodiscard]] virtual std::optional<std::string> FindCustomerByKeyHash(
      const std::string& hash) const = 0;
  // The resources in force; null before the first.
  [[nodiscard]] virtual std::shared_ptr<const ResourceSet> resources()
      const = 0;
  // Whether requests are taken.
  [[nodiscard]] virtual bool ready() const = 0;
};

}  // namespace rosemarycove
