// Limits how many instances relay data to one that lags behind.
#pragma once

#include <map>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// Allows only a few instances to relay a document to a receiver that lags
// behind, and more the longer it lags: if all did, a large fleet would saturate
// the receiver's links. Each gateway instance owns one throttle per kind of
// document.
class RelayThrottle {
 public:
  // Returns whether this instance may send to the receiver, which lags behind.
  // `rank` is the number of instances that could send as well and come before
  // this one for the receiver.
  bool MaySend(const std::string& receiver, int rank, TimePoint now);
  // Records that the receiver does not lag.
  void MarkUpToDate(const std::string& receiver) {
    this->lagging_since.erase(receiver);
  }

 private:
  std::map<std::string, TimePoint> lagging_since;
};

}  // namespace rosemarycove
