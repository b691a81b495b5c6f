// Who passes on what another instance lacks.
#pragma once

#include <map>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// Lets few instances pass something on to one that lacks it, and more the
// longer it does: if all did, a large fleet would choke the links of the
// receiver.
class RelayThrottle {
 public:
  // Whether this instance sends now. `place`: how many instances that could
  // send as well come before this one for the receiver.
  bool MaySend(const std::string& receiver, int place, TimePoint now);
  // The receiver lacks nothing.
  void MarkUpToDate(const std::string& receiver) {
    this->lacking_since.erase(receiver);
  }

 private:
  std::map<std::string, TimePoint> lacking_since;
};

}  // namespace rosemarycove
