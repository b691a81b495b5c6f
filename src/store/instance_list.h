// The platform's list of instances, which lags behind what is true.
#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "store/key_value_store.h"

namespace rosemarycove {

// An instance as the platform knows it.
struct ListedInstance {
  std::string name;
  // IP number and port where it listens for other instances.
  std::string peer_address;
  bool leaving = false;
};

// Reads the list. Calls block until answered or timed out.
class InstanceList {
 public:
  virtual ~InstanceList() = default;
  virtual tl::expected<std::vector<ListedInstance>, StoreError> Read() = 0;
};

}  // namespace rosemarycove
