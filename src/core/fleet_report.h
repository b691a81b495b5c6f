// What an instance tells the others of itself and of what it knows.
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

// Who sends a report.
struct InstanceIdentity {
  std::string instance;
  // IP number and port where it takes reports.
  std::string address;
  std::string data_centre;

  bool operator==(const InstanceIdentity&) const = default;
};

// How the engines of a service are divided, as core/placer.h explains.
struct ServicePartition {
  // The number that stands for the service, as for servers.
  std::uint64_t service_hash = 0;
  // Share that is set aside for routes that bear pauses.
  double reserved_share = 0;
  // The sender's own recent work, in prompt tokens: for routes that bear pauses
  // and for all others.
  double pause_tolerant_work = 0;
  double other_work = 0;
};

// One report. What it leaves out of a list is not there any more, except for
// neighbours and documents, which are sent as needed.
struct FleetReport {
  std::optional<InstanceIdentity> identity;
  bool is_draining = false;
  // The store's revision of the configuration in force; 0 is none.
  std::uint64_t configuration_revision = 0;
  // Up to which revision the sender's directory is complete, and how long ago
  // it was read.
  std::uint64_t directory_revision = 0;
  Duration directory_age{};
  StoreReadId directory_read_id;
  std::vector<ServerLoadEntry> server_loads;
  std::vector<ServicePartition> partitions;
  std::vector<std::string> peer_addresses;
  std::optional<SharedDocument> configuration;
  // Complete up to `directory_revision`.
  DirectoryUpdate directory_update;
};

}  // namespace rosemarycove
