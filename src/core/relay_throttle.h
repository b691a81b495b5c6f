// Limits how many instances relay a document to one that lags behind.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/types.h"

namespace rosemarycove {

// Allows only a few instances to relay a document to a receiver that lags
// behind, and more the longer it lags: if all did, a large fleet would saturate
// the receiver's network connection. Each gateway instance owns one throttle
// per kind of document and uses it on its event loop.
class RelayThrottle {
 public:
  // Returns whether this instance may send to the receiver, which lags behind.
  // The first call for a receiver starts the measurement of its lag; no
  // instance may relay before kInitialDelay has passed. `revision` is the
  // revision up to which the receiver has the documents. `rank` is the number
  // of instances that could send as well and rank before this one for this
  // receiver (FleetLinks::SenderRank).
  bool MaySend(const std::string& receiver, std::uint64_t revision, int rank,
               TimePoint now);
  // Records that the receiver does not lag behind.
  void MarkUpToDate(const std::string& receiver) {
    this->lagging_since.erase(receiver);
  }

 private:
  // When the lag of each receiver was first observed.
  std::map<std::string, TimePoint> lagging_since;
};

}  // namespace rosemarycove
