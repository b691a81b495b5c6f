// The state that an instance reports to the other instances.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/backend_directory.h"
#include "core/load_ledger.h"
#include "core/shared_document.h"
#include "core/types.h"

namespace rosemarycove {

// The sender of a report.
struct InstanceIdentity {
  std::string instance;
  // IP address and port where the instance accepts reports.
  std::string address;
  std::string data_centre;

  bool operator==(const InstanceIdentity&) const = default;
};

// How the engines of a service are divided between routes that tolerate pauses
// and all others; see Placer.
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

// One report. A list replaces the one of the previous report, except for
// `peer_addresses` and the documents, which are sent only as needed.
struct FleetReport {
  // Sent only in the first report of a connection.
  std::optional<InstanceIdentity> identity;
  bool is_draining = false;
  // The store's revision of the configuration in force; 0 if there is none.
  std::uint64_t configuration_revision = 0;
  // The revision up to which the sender's directory is complete, the time since
  // its last read, and which read that was.
  std::uint64_t directory_revision = 0;
  Duration directory_age{};
  StoreReadId directory_read_id;
  std::vector<ServerLoadEntry> server_loads;
  std::vector<ServicePartition> partitions;
  // Addresses of other instances that the sender knows.
  std::vector<std::string> peer_addresses;
  // Absent unless relayed to a receiver that lags.
  std::optional<SharedDocument> configuration;
  // Complete up to `directory_revision`.
  DirectoryUpdate directory_update;
};

}  // namespace rosemarycove
