// The state that a gateway instance reports to the others through FleetLinks.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/admission_report.h"
#include "core/backend_directory.h"
#include "core/brittle_servers.h"
#include "core/configuration_history.h"
#include "core/engine_demand.h"
#include "core/engine_speed.h"
#include "core/load_ledger.h"
#include "core/prompt_cache_map.h"
#include "core/request_quarantine.h"
#include "core/server_rate_limits.h"
#include "core/shared_document.h"
#include "core/software_history.h"
#include "core/stream_origins.h"
#include "core/types.h"
#include "core/usage_ledger.h"

namespace rosemarycove {

// The sender of a report.
struct InstanceIdentity {
  std::string instance;
  // IP address and port where the instance accepts reports.
  std::string address;
  std::string data_centre;
  // IP address and port where the instance accepts relayed requests; empty if
  // it accepts none, or runs a release that doesn't send it.
  std::string relay_address;
  // Capacity of its network link; 0 if it is unknown, or if the instance runs a
  // release that doesn't send it.
  std::uint64_t link_bytes_per_second = 0;

  bool operator==(const InstanceIdentity&) const = default;
};

// The partition of a service's engines between routes that tolerate pauses and
// all others; see Placer.
struct ServicePartition {
  // IdHash of the service's name.
  std::uint64_t service_hash = 0;
  // Share of the engines that is reserved for pause-tolerant routes.
  double reserved_share = 0;
  // The sender's own recent work, in prompt tokens: for pause-tolerant routes
  // and for all others.
  double pause_tolerant_work = 0;
  double other_work = 0;
};

// One report. Each list replaces that of the previous report, except for
// `peer_addresses` and the documents, which are sent only as needed.
struct FleetReport {
  // Sent only in the first report of a connection.
  std::optional<InstanceIdentity> identity;
  bool is_draining = false;
  // The store's revision of the configuration in force; 0 if there is none.
  std::uint64_t configuration_revision = 0;
  // Its version, which orders configurations also after the store has lost one.
  std::uint64_t configuration_version = 0;
  // The time since which the sender doesn't know whether the store has a later
  // one; nullopt if that is unknown, or if the sender runs a release that
  // doesn't send it. Whole milliseconds are sent.
  std::optional<Duration> configuration_age;
  // Its DocumentHash; 0 if there is none, or if the sender needs the next one
  // as a whole.
  std::uint64_t configuration_hash = 0;
  // False if the sender runs a release that doesn't know the fields for
  // updates.
  bool takes_configuration_updates = false;
  // The sender asks for a later configuration.
  bool wants_configuration = false;
  // Only the configuration is reported; the receiver keeps all else from the
  // reports before.
  bool is_configuration_only = false;
  // The revision up to which the sender's directory is complete, the age of the
  // latest read of the store that it knows, and the id of that read.
  std::uint64_t directory_revision = 0;
  Duration directory_age{};
  StoreReadId directory_read_id;
  std::vector<ServerLoadEntry> server_loads;
  std::vector<ServicePartition> partitions;
  std::vector<SuspectCrashes> suspected_parts;
  std::vector<RateLimitReport> rate_limits;
  // The software that the sender saw in use; sent only in the first report of a
  // connection.
  std::optional<SoftwareReport> software;
  // Streams that the sender began and has not yet told the receiver.
  std::vector<StreamOrigin> stream_origins;
  // Parts of prompts that the sender was the first to send to a server, as far
  // as it knew.
  std::vector<CachedPart> cached_parts;
  // The number of other instances that the sender knows; 0 if it knows none, or
  // runs a release that doesn't send it.
  std::uint32_t known_peer_count = 0;
  // IdHash of the services that are out of the sender's reach.
  std::vector<std::uint64_t> unreachable_services;
  std::vector<BrittlenessReport> brittle_servers;
  // Sent in the first report of a connection unless the sender has no duties,
  // or runs a release that has none; later, by the holder of the duties and the
  // candidates to all, and by all to these.
  std::optional<DutyState> duties;
  AdmissionReport admission;
  // What the sender learned of the speeds of engines and has not told yet.
  std::vector<SpeedSample> speed_samples;
  // Addresses of other instances that the sender knows.
  std::vector<std::string> peer_addresses;
  // Sent only to a receiver whose configuration is older; nullopt otherwise.
  std::optional<ConfigurationUpdate> configuration_update;
  // The same for a receiver that takes no updates.
  std::optional<SharedDocument> configuration;
  // Makes the receiver's directory complete up to `directory_revision`. Without
  // documents, it only reports the age of the sender's directory.
  DirectoryUpdate directory_update;
  // For the instance that orders engines and those that may be the next to do
  // so; nullopt for others, or if the sender runs a release that doesn't send
  // it.
  std::optional<std::vector<EngineDemand>> engine_demand = {};
};

}  // namespace rosemarycove
