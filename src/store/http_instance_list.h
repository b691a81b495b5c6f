// The list of instances as JSON over HTTP, as docs/PLATFORM.md describes it.
#pragma once

#include <string>
#include <vector>

#include "store/instance_list.h"

namespace rosemarycove {

// Sends GET /instances to one address.
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
