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
  // Returns whether this instance may send to the receiver, which lags behind
  // and has the documents up to `revision`. The first call for a receiver
  // starts the measurement of its lag; one with another revision restarts it,
  // since the receiver then gets documents from the store or from others. No
  // instance may relay before kInitialDelay has passed. `rank` is the number of
  // instances that could send as well and rank before this one for this
  // receiver (FleetLinks::SenderRank).
  bool MaySend(const std::string& receiver, std::uint64_t revision, int rank,
               TimePoint now);
  // Records that the receiver does not lag behind.
  void MarkUpToDate(const std::string& receiver) { this->lags.erase(receiver); }

 private:
  struct Lag {
    // The receiver's revision, and when it was first observed.
    std::uint64_t revision = 0;
    TimePoint since;
  };

  // By receiver.
  std::map<std::string, Lag> lags;
};

}  // namespace rosemarycove
