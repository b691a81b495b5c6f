// The list of instances over HTTP with JSON, as docs/PLATFORM.md describes it.
#pragma once

#include <string>
#include <vector>

#include "store/instance_list.h"

namespace rosemarycove {

// Asks one address with GET /instances.
class HttpInstanceList : public InstanceList {
 public:
  HttpInstanceList(std::string host, int port, Duration timeout);
  tl::expected<std::vector<ListedInstance>, StoreError> Read() override;

 private:
  std::string host;
  int port;
  Duration timeout;
};

}  // namespace rosemarycove
