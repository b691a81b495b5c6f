// Brings the configuration from the instances that read it from the store to
// the others.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "app/event_log.h"
#include "core/configuration_history.h"
#include "core/configuration_requests.h"
#include "core/fleet_report.h"
#include "core/link_budget.h"
#include "core/relay_throttle.h"
#include "core/shared_document.h"
#include "core/types.h"
#include "net/fleet_links.h"
#include "wire/zstd_codec.h"

namespace rosemarycove {

// The instances that wait for changes at the store send each new configuration
// to the others of their data centre and to those that wait in the other ones,
// as the difference from what each last reported. They tell all others that it
// exists; who is behind for longer asks for it. A share of the link is left for
// requests. Used on the event loop's thread only.
class ConfigurationExchange {
 public:
  // `links` and `log` must outlive the exchange.
  ConfigurationExchange(FleetLinks& links, EventLog& log);

  // Returns whether the instance is one of those of its data centre that wait
  // for changes at the store.
  [[nodiscard]] bool WaitsAtStore(const InstanceIdentity& instance) const;
  // Records the configuration in force. `is_from_store`: this instance has read
  // it itself.
  void SetInForce(const SharedDocument& document, std::uint64_t new_version,
                  bool is_from_store, TimePoint now);
  // The configuration in force as stored.
  [[nodiscard]] const SharedDocument& document() const {
    return this->history.latest();
  }
  // Adds what each report says of the configuration but its age.
  void AddState(FleetReport& report) const;
  // Adds the configuration to a report if the peer runs a release that takes no
  // updates, is behind, and it is this instance's turn to send it.
  void AddDocument(const FleetPeer& peer, FleetReport& report, TimePoint now);
  // Returns the configuration that a report brings; nullopt if there is none.
  std::optional<SharedDocument> Receive(const FleetPeer& peer,
                                        const FleetReport& report);
  // Sends what is due. `age`: that of the configuration in force.
  void Tick(std::optional<Duration> age, TimePoint now);
  // The size of all configurations sent.
  [[nodiscard]] std::uint64_t sent_bytes() const {
    return this->all_sent.bytes;
  }

 private:
  // What an instance is to be sent.
  enum class Message : std::uint8_t {
    kNotice,   // Which configuration is in force here.
    kUpdate,   // The configuration itself, too.
    kRequest,  // That this instance wants a later one.
  };
  // Configurations that were sent.
  struct Sent {
    int peers = 0;
    int whole = 0;
    std::uint64_t bytes = 0;
  };

  [[nodiscard]] bool IsBehind(const FleetPeer& peer) const;
  [[nodiscard]] FleetReport MakeMessage(std::optional<Duration> age) const;
  // Asks another instance if this one has been behind for a while.
  void RequestIfBehind(TimePoint now);
  // Sends one message, or drops it if it is no longer needed. Returns false if
  // it has to wait.
  bool Send(const std::string& address, Message message,
            std::optional<Duration> age, TimePoint now);
  void LogSent();
  [[nodiscard]] const FleetPeer* FindPeer(const std::string& address) const;
  // Decides whether it is this instance's turn to send the whole document.
  [[nodiscard]] bool IsTurnToSend(const FleetPeer& peer, TimePoint now);

  FleetLinks& links;
  EventLog& log;
  ZstdCodec codec;
  ConfigurationHistory history;
  std::uint64_t version = 0;
  ConfigurationRequests requests;
  LinkBudget budget;
  // By address.
  std::map<std::string, Message> pending;
  // The last update could not be applied.
  bool needs_whole = false;
  RelayThrottle throttle;
  // When the next report is due that brings a new configuration to instances
  // that take no updates.
  std::optional<TimePoint> relay_at;
  Sent unlogged;
  Sent all_sent;
};

}  // namespace rosemarycove
