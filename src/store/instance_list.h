// The platform's list of instances, which lags behind the real state.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "store/key_value_store.h"

namespace rosemarycove {

// An instance as the platform lists it.
struct ListedInstance {
  std::string name;
  // IP address and port where it accepts the connections of other instances.
  std::string peer_address;
  // It is shutting down.
  bool leaving = false;
};

// Reads the list. Calls block until the response or a timeout.
class InstanceList {
 public:
  virtual ~InstanceList() = default;
  virtual tl::expected<std::vector<ListedInstance>, StoreError> Read() = 0;
};

}  // namespace rosemarycove
