// The directory of the backend servers registered in the platform's store.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/shared_document.h"
#include "core/types.h"

namespace rosemarycove {

// The registration that a backend server writes about itself.
struct RegisteredServer {
  std::string id;
  // Start time of the server process, in milliseconds since 1970. A different
  // value means a new process without the requests of the previous one.
  std::uint64_t incarnation = 0;
  std::string service;
  // IP address and port.
  std::string address;
  std::string data_centre;
  // Number of requests that the server processes concurrently.
  int slots = 1;
  // The server accepts no new requests and exits soon.
  bool is_draining = false;

  bool operator==(const RegisteredServer&) const = default;
};

// Decodes the registrations in the store.
class ServerDecoder {
 public:
  virtual ~ServerDecoder() = default;
  // Returns the registered server, or nothing if the value is not a valid
  // registration.
  [[nodiscard]] virtual std::optional<RegisteredServer> Decode(
      const SharedDocument& document) const = 0;
};

// How a server changed.
enum class ServerChangeKind : std::uint8_t {
  kAppeared,
  kChanged,
  kRestarted,  // The same id has another incarnation.
  kDraining,   // The server began to drain.
  kGone,
  kUnreadable,  // The entry is not a valid registration.
};

// Returns the word that logs use.
std::string_view ToString(ServerChangeKind kind);

// A change of one server. An unreadable entry sets only the server's id.
struct ServerChange {
  ServerChangeKind kind = ServerChangeKind::kAppeared;
  RegisteredServer server;
  // The store's revision of the change.
  std::uint64_t revision = 0;
};

// A delta or a snapshot of the directory, for another instance.
struct DirectoryUpdate {
  // A delta holds all entries that changed after this revision.
  std::uint64_t base_revision = 0;
  // The update is a snapshot: it holds all entries, so servers that it omits
  // are gone.
  bool is_snapshot = false;
  std::vector<SharedDocument> documents;
};

// Identifies one read of the store.
struct StoreReadId {
  // Identifies the process that read.
  std::uint64_t reader = 0;
  // Counts the reads of that process.
  std::uint64_t sequence = 0;

  bool operator==(const StoreReadId&) const = default;
};

// Mirrors the servers' entries in the store and lists the usable servers.
//
// An instance gets entries by reading the store or from another instance that
// did. Both deliver documents with revisions, of which the higher one wins. The
// age of the last read is passed on as well, so that one reader is enough for
// all instances. Passing it on takes a little time that the age does not
// include; so each read counts only once, or instances would keep it young by
// reporting it to each other.
//
// Each gateway instance owns one directory and uses it on its event loop.
class BackendDirectory {
 public:
  // `decoder` must outlive the directory. `reader` identifies the reads of this
  // process and must differ from process to process.
  explicit BackendDirectory(const ServerDecoder& decoder,
                            std::uint64_t reader = 0)
      : decoder(decoder), reader(reader) {}

  // Applies changed documents from a read of the store. They are complete up to
  // `revision`, and the read began at `read_at`. A `revision` of 0 means that
  // neither is known.
  std::vector<ServerChange> Apply(const std::vector<SharedDocument>& documents,
                                  std::uint64_t revision, TimePoint read_at,
                                  TimePoint now);
  // Applies a full read of the store: servers that it omits are gone.
  std::vector<ServerChange> Replace(
      const std::vector<SharedDocument>& documents, std::uint64_t revision,
      TimePoint read_at, TimePoint now);
  // Removes servers whose expired entries have outlived the grace period, and
  // drops old tombstones.
  std::vector<ServerChange> Tick(TimePoint now);

  // The servers by id, draining ones included.
  [[nodiscard]] const std::map<std::string, RegisteredServer>& servers() const {
    return this->usable_servers;
  }
  // Returns the server, or null if it is unknown or gone.
  [[nodiscard]] const RegisteredServer* Find(const std::string& id) const;

  // The store's revision up to which the directory is complete; 0 before the
  // first read.
  [[nodiscard]] std::uint64_t revision() const { return this->complete_to; }
  // When the latest known read of the store began.
  [[nodiscard]] TimePoint read_at() const { return this->last_read_at; }
  // The latest known read of the store.
  [[nodiscard]] const StoreReadId& last_read_id() const {
    return this->last_read;
  }
  // Returns the update for an instance that is complete up to `revision`. It is
  // a snapshot if tombstones after `revision` are missing here, because they
  // were dropped or precede the first read.
  [[nodiscard]] DirectoryUpdate UpdateSince(std::uint64_t revision) const;
  // Applies an update of another instance that is complete up to `revision`.
  // Ignores an update that is older than this directory or whose delta would
  // leave a gap.
  std::vector<ServerChange> ApplyUpdate(const DirectoryUpdate& update,
                                        std::uint64_t revision,
                                        const StoreReadId& read_id,
                                        TimePoint read_at, TimePoint now);

 private:
  struct Entry {
    SharedDocument document;
    // The last revision that changed the content; heartbeats rewrite an entry
    // without changing it.
    std::uint64_t changed_revision = 0;
    // Absent while the entry is unreadable or removed.
    std::optional<RegisteredServer> server;
    // End of the grace period of an expired entry; absent for other entries.
    std::optional<TimePoint> grace_end;
    // When this instance learned of the removal.
    TimePoint removed_at;
  };

  void ApplyOne(const SharedDocument& document, TimePoint now,
                std::vector<ServerChange>& changes);
  void Remove(Entry& entry, const SharedDocument& document, TimePoint now,
              std::vector<ServerChange>& changes);
  std::vector<ServerChange> ApplyAll(
      const std::vector<SharedDocument>& documents, TimePoint now);
  // Returns the documents and tombstones for all other entries that are not
  // newer than `revision`.
  [[nodiscard]] std::vector<SharedDocument> WithTombstones(
      const std::vector<SharedDocument>& documents,
      std::uint64_t revision) const;
  void RecordRead(std::uint64_t revision, const StoreReadId& read_id,
                  TimePoint read_at, TimePoint now);

  const ServerDecoder& decoder;
  std::uint64_t reader;
  std::uint64_t own_read_count = 0;
  StoreReadId last_read;
  // The sequence number of the last known read, by reader.
  std::map<std::uint64_t, std::uint64_t> last_sequence_by_reader;
  std::map<std::string, Entry> entries;
  // Servers of the readable entries, including those in their grace period.
  std::map<std::string, RegisteredServer> usable_servers;
  std::uint64_t complete_to = 0;
  // The directory holds the tombstones of all removals after this revision.
  std::uint64_t tombstones_since = 0;
  TimePoint last_read_at;
  // Until then a missing entry may have expired only because the server could
  // not renew it during an outage of the store.
  TimePoint expiry_grace_until;
};

}  // namespace rosemarycove
