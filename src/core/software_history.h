// The software versions of backend servers that streams may have begun at.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/backend_directory.h"
#include "core/types.h"

namespace rosemarycove {

// Returns a hash of the service and the software version of a server; the same
// at every instance. A server of unknown version shares its hash with no other
// one, nor with another process of the same id.
std::uint64_t SoftwareHash(const RegisteredServer& server);

// Software that servers of a service ran, for other instances.
struct SoftwareUse {
  // See SoftwareHash.
  std::uint64_t software = 0;
  // IdHash of the service's name.
  std::uint64_t service_hash = 0;
  // Time since a server with it was registered; zero if one still is.
  Duration age{};
};

// An instance whose copy of the directory is older may lack servers that others
// use.
constexpr Duration kMaxDirectoryAge = std::chrono::milliseconds(2500);

// What an instance knows of the software that was in use.
struct SoftwareReport {
  // `uses` has all software that was in use within this time.
  Duration known_for{};
  std::vector<SoftwareUse> uses;
};

// Remembers which software the servers of each service ran recently. A stream
// of unknown origin can go on only where a single version can have begun it:
// this class knows whether that is so. It has to have observed the servers for
// as long as callers resume streams; an instance that has just started learns
// from the others what they observed.
//
// An instance that is cut off or stands still doesn't see new versions. So no
// stream that may be resumed begins at a version until each instance either
// knows of it or knows that its directory is out of date.
//
// Each gateway instance owns one and uses it on its event loop.
class SoftwareHistory {
 public:
  // Records the servers that are registered now. `is_current`: the servers are
  // known to be up to date. Called every second or more often, unless
  // the process stands still.
  void Update(const std::map<std::string, RegisteredServer>& servers,
              bool is_current, TimePoint now);
  // Adds what another instance observed.
  void Merge(const SoftwareReport& report, TimePoint now);
  [[nodiscard]] SoftwareReport Report(TimePoint now) const;

  // Sets for how long after its beginning a stream may be resumed.
  void SetWindow(Duration resumption_window) {
    this->window = resumption_window;
  }
  [[nodiscard]] Duration resumption_window() const { return this->window; }
  // Returns the software that began each stream of these services that may be
  // resumed now; nullopt if there may be several, or none is known.
  // `directory_age` is the time since the directory was read from the store.
  [[nodiscard]] std::optional<std::uint64_t> OnlySoftware(
      const std::vector<std::string>& services, Duration directory_age,
      TimePoint now) const;
  // Returns whether each service had a single version for the whole window, so
  // that OnlySoftware knows all.
  [[nodiscard]] bool IsSettled(Duration directory_age, TimePoint now) const;
  // Returns the software at which no stream of the service that may be resumed
  // should begin yet, since other instances may not know of it. Empty if no
  // other software of the service is registered, or none has been for longer.
  [[nodiscard]] std::vector<std::uint64_t> NewSoftware(
      const std::string& service, TimePoint now) const;

 private:
  struct Use {
    std::uint64_t service_hash = 0;
    // When this instance first saw a server with it.
    TimePoint first_seen_at;
    TimePoint last_used_at;
  };

  [[nodiscard]] bool IsKnown(TimePoint now) const {
    return this->known_since && now - *this->known_since >= this->window;
  }

  Duration window = std::chrono::seconds(30);
  // By SoftwareHash.
  std::map<std::uint64_t, Use> uses;
  // All software in use after this time is in `uses`; nullopt before the first
  // update.
  std::optional<TimePoint> known_since;
  // nullopt before the first update.
  std::optional<TimePoint> updated_at;
};

}  // namespace rosemarycove
