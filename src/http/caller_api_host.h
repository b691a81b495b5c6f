// What the caller API needs from its host.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "core/events.h"
#include "core/resources.h"
#include "http/pending_request.h"

namespace rosemarycove {

// Implemented by the node's host. All functions are thread-safe.
class CallerApiHost {
 public:
  virtual ~CallerApiHost() = default;

  // Returns an id for a new request, unique within this process.
  virtual RequestId NextRequestId() = 0;
  // Submits a request to the node. The outcome is reported to `pending`.
  virtual void Submit(RequestArrived arrived,
                      const std::shared_ptr<PendingRequest>& pending) = 0;
  // Reports that the caller closed its connection.
  virtual void OnCallerDisconnected(RequestId id) = 0;
  // Returns the customer whose key has this SHA-256 in hexadecimal, or nullopt.
  [[nodiscard]] virtual std::optional<std::string> FindCustomerByKeyHash(
      const std::string& hash) const = 0;
  // Returns the resources in force, or null before the first were loaded.
  [[nodiscard]] virtual std::shared_ptr<const ResourceSet> resources()
      const = 0;
  // Returns whether requests are accepted.
  [[nodiscard]] virtual bool ready() const = 0;
};

}  // namespace rosemarycove
