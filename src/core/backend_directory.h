// The directory of the backend servers registered in the platform's store. Used
// by the proxy (src/proxy); a Node gets its servers from the ResourceSet.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "core/shared_document.h"
#include "core/types.h"

namespace rosemarycove {

// The registration that a backend server writes to the store and renews.
struct RegisteredServer {
  std::string id;
  // Start time of the server process, in milliseconds since 1970. A different
  // value means a new process without the requests of the previous one.
  std::uint64_t incarnation = 0;
  std::string service;
  // IP address and port.
  std::string address;
  std::string data_centre;
  // Number of requests that the server processes concurrently. The placement
  // uses this number, not RoutedService::batch_slots.
  int slots = 1;
  // True if the server accepts no new requests and will exit.
  bool is_draining = false;
  // The version of the server's software; empty if unknown. Streams of
  // different versions don't fit together.
  std::string software_version;
  // The engine is of the cheaper kind, which the platform may take away.
  bool is_reclaimable = false;
  // The time from the write of the entry until the server is gone; nullopt if
  // the entry doesn't state it.
  std::optional<Duration> leaves_in = {};

  bool operator==(const RegisteredServer&) const = default;
};

// Decodes the registrations in the store.
class ServerDecoder {
 public:
  virtual ~ServerDecoder() = default;
  // Returns the registered server, or what is wrong if the document is not a
  // valid registration.
  [[nodiscard]] virtual tl::expected<RegisteredServer, std::string> Decode(
      const SharedDocument& document) const = 0;
};

// How a server changed.
enum class ServerChangeKind : std::uint8_t {
  kAppeared,
  kChanged,    // The content of its registration changed.
  kRestarted,  // The same id has another incarnation.
  kDraining,   // The server began to drain.
  kGone,       // Its entry was removed, or expired and was not renewed in time.
  kUnreadable,  // The entry is no longer a valid registration, or never was.
};

// Returns the word that logs use.
std::string_view ToString(ServerChangeKind kind);

// A change of one server. An unreadable entry sets only the server's id.
struct ServerChange {
  ServerChangeKind kind = ServerChangeKind::kAppeared;
  RegisteredServer server;
  // The store's revision of the change.
  std::uint64_t revision = 0;
  // What is wrong with an unreadable entry; empty otherwise.
  std::string fault;
};

// A delta or a snapshot of the directory, for another instance.
struct DirectoryUpdate {
  // A delta holds all entries that changed after this revision.
  std::uint64_t base_revision = 0;
  // True for a snapshot, which holds all entries: servers that it omits are
  // gone.
  bool is_snapshot = false;
  std::vector<SharedDocument> documents;
};

// Identifies one read of the store.
struct StoreReadId {
  // Identifies the process that made the read.
  std::uint64_t reader = 0;
  // Counts the reads of that process.
  std::uint64_t sequence = 0;

  bool operator==(const StoreReadId&) const = default;
};

// Mirrors the servers' entries in the store and lists the usable servers.
//
// An instance gets entries by reading the store or from another instance that
// did. Both deliver documents with revisions; the higher revision of a document
// replaces the lower one. Instances also report the age of the latest read, so
// that one reader is enough for all of them. The age excludes the transfer
// time, so each read (StoreReadId) counts only once; otherwise relaying would
// make an old read look recent.
//
// A store that came back from a copy (core/store_revision.h) has lost its last
// changes. What it says then is newer than all before, except that a process
// that was seen to leave doesn't return with it: one that drained still does,
// one that was restarted is not back, and one whose entry was removed isn't
// used until the entry must have been renewed.
//
// Each gateway instance owns one directory and uses it on its event loop.
class BackendDirectory {
 public:
  // `decoder` must outlive the directory. `reader` identifies the reads of this
  // process and must be different in each process.
  explicit BackendDirectory(const ServerDecoder& decoder,
                            std::uint64_t reader = 0)
      : decoder(decoder), reader(reader) {}

  // Applies changed documents from a read of the store. They include all
  // changes up to `revision` that this directory lacked. The read began at
  // `read_at` on the clock of this process. A `revision` of 0 means that
  // neither is known.
  std::vector<ServerChange> Apply(const std::vector<SharedDocument>& documents,
                                  std::uint64_t revision, TimePoint read_at,
                                  TimePoint now);
  // Applies a read of all documents in the store: servers that it omits are
  // gone.
  std::vector<ServerChange> Replace(
      const std::vector<SharedDocument>& documents, std::uint64_t revision,
      TimePoint read_at, TimePoint now);
  // Removes servers whose entries expired and were not renewed within the grace
  // period, and drops old tombstones.
  std::vector<ServerChange> Tick(TimePoint now);

  // The servers by id, draining ones included.
  [[nodiscard]] const std::map<std::string, RegisteredServer>& servers() const {
    return this->usable_servers;
  }
  // Returns the server, or null if it is not in `servers()`.
  [[nodiscard]] const RegisteredServer* Find(const std::string& id) const;

  // The directory includes all changes in the store up to this revision; 0
  // before the first read.
  [[nodiscard]] std::uint64_t revision() const { return this->complete_to; }
  // When the latest known read of the store began, on the clock of this
  // process.
  [[nodiscard]] TimePoint read_at() const { return this->last_read_at; }
  // The latest known read of the store.
  [[nodiscard]] const StoreReadId& last_read_id() const {
    return this->last_read;
  }
  // Returns the update for an instance whose directory includes all changes up
  // to `revision`. It is a snapshot if this directory lacks tombstones of later
  // revisions, because they were dropped or precede its first read.
  [[nodiscard]] DirectoryUpdate UpdateSince(std::uint64_t revision) const;
  // Applies an update of another instance whose directory includes all changes
  // up to `revision`. Ignores an update that is older than this directory, or a
  // delta that starts after the revision of this directory.
  std::vector<ServerChange> ApplyUpdate(const DirectoryUpdate& update,
                                        std::uint64_t revision,
                                        const StoreReadId& read_id,
                                        TimePoint read_at, TimePoint now);

 private:
  struct Entry {
    // Without its value if the entry is unreadable.
    SharedDocument document;
    // The last revision that changed the content; heartbeats rewrite an entry
    // without changing it.
    std::uint64_t changed_revision = 0;
    // nullopt if the entry is unreadable, or removed without or after a grace
    // period.
    std::optional<RegisteredServer> server;
    // The entry exists and is unreadable.
    bool is_unreadable = false;
    // End of the grace period of an expired entry; nullopt for other entries.
    std::optional<TimePoint> grace_end;
    // When this instance applied the removal.
    TimePoint removed_at;
    // The incarnation of the last server that was gone.
    std::optional<std::uint64_t> gone_incarnation;
    // A restored store says that the server doesn't drain, though it was seen
    // to.
    bool keeps_draining = false;
    // Since when a restored store has the entry of a server that was gone;
    // nullopt for other entries.
    std::optional<TimePoint> held_since;
  };

  // Returns what holds for the server, given that its process may have been
  // seen to leave before the store was restored; nullopt if it must not be
  // used. If the known state holds, replaces the document's value by it.
  std::optional<RegisteredServer> KeepLeft(
      Entry& entry, SharedDocument& document, TimePoint now,
      std::optional<RegisteredServer> server) const;
  // Takes back into use a server whose entry was renewed.
  void ReleaseHeld(Entry& entry, std::vector<ServerChange>& changes);
  void ApplyOne(const SharedDocument& received, TimePoint now,
                std::vector<ServerChange>& changes);
  void Remove(Entry& entry, const SharedDocument& document, TimePoint now,
              std::vector<ServerChange>& changes);
  void MarkUnreadable(Entry& entry, const SharedDocument& document,
                      const std::string& fault,
                      std::vector<ServerChange>& changes);
  std::vector<ServerChange> ApplyAll(
      const std::vector<SharedDocument>& documents, TimePoint now);
  // Returns the documents, and tombstones for all other entries whose revision
  // is not above `revision`.
  [[nodiscard]] std::vector<SharedDocument> WithTombstones(
      const std::vector<SharedDocument>& documents,
      std::uint64_t revision) const;
  // Records that the directory includes all changes up to `revision`, and the
  // read unless it is known already or is older than the last one.
  void RecordRead(std::uint64_t revision, const StoreReadId& read_id,
                  TimePoint read_at, TimePoint now);

  const ServerDecoder& decoder;
  std::uint64_t reader;
  std::uint64_t own_read_count = 0;
  StoreReadId last_read;
  // The sequence number of each reader's last known read.
  std::map<std::uint64_t, std::uint64_t> last_sequence_by_reader;
  std::map<std::string, Entry> entries;
  // Servers of the readable entries, including those in their grace period.
  std::map<std::string, RegisteredServer> usable_servers;
  std::uint64_t complete_to = 0;
  // The directory holds the tombstones of all removals after this revision.
  std::uint64_t tombstones_since = 0;
  TimePoint last_read_at;
  // A removal before this time gets a grace period: the entry may have expired
  // only because its server could not renew it during an outage of the store.
  TimePoint expiry_grace_until;
};

}  // namespace rosemarycove
