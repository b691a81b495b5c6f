// The backend servers that registered themselves in the platform's store.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/shared_document.h"
#include "core/types.h"

namespace rosemarycove {

// What a backend server says of itself.
struct RegisteredServer {
  std::string id;
  // Milliseconds since 1970 of its start; another one is another process that
  // knows nothing of what the one before was sent.
  std::uint64_t incarnation = 0;
  std::string service;
  // IP number and port.
  std::string address;
  std::string data_centre;
  // Requests that it works on at once.
  int slots = 1;
  // Takes no new requests; its process ends soon.
  bool is_draining = false;

  bool operator==(const RegisteredServer&) const = default;
};

// Reads the value under a key; nothing when it names no server to use.
class ServerDecoder {
 public:
  virtual ~ServerDecoder() = default;
  [[nodiscard]] virtual std::optional<RegisteredServer> Decode(
      const SharedDocument& document) const = 0;
};

// What a change of the directory meant for one server.
enum class ServerChangeKind : std::uint8_t {
  kAppeared,
  kChanged,
  kRestarted,  // The same id with another incarnation.
  kLeaving,
  kGone,
  kUnreadable,
};

// Returns the lower-case word that logs use.
std::string_view ToString(ServerChangeKind kind);

// A change of one server, for the log.
struct ServerChange {
  ServerChangeKind kind = ServerChangeKind::kAppeared;
  RegisteredServer server;
  std::uint64_t revision = 0;
};

// What another instance lacks.
struct DirectoryUpdate {
  // All that changed after this revision, unless it is whole.
  std::uint64_t base_revision = 0;
  // Names every server there is: what it does not name is gone.
  bool is_snapshot = false;
  std::vector<SharedDocument> documents;
};

// Names one reading of the store: who read, since its process began, and which
// of its readings it was.
struct StoreReadId {
  std::uint64_t reader = 0;
  std::uint64_t sequence = 0;

  bool operator==(const StoreReadId&) const = default;
};

// Mirrors the servers' entries and says which servers may be used.
//
// An instance learns of entries by reading the store or from another instance
// that did; both bring documents with revisions, and the higher one wins. How
// old the knowledge is travels with it, so that one reader is enough for all.
// Each way takes a little time that the age does not hold; so a reading is
// heard once, or instances would keep it young by telling each other of it.
class BackendDirectory {
 public:
  // `decoder` must outlive the directory. `reader` names the readings of this
  // instance and differs from process to process.
  explicit BackendDirectory(const ServerDecoder& decoder,
                            std::uint64_t reader = 0)
      : decoder(decoder), reader(reader) {}

  // Takes changed documents. `as_of` is the store's revision up to which they
  // are complete, `read_at` when the reading began; 0 leaves both as they are.
  std::vector<ServerChange> Apply(const std::vector<SharedDocument>& documents,
                                  std::uint64_t revision, TimePoint read_at,
                                  TimePoint now);
  // Takes a whole reading: what it does not name is gone.
  std::vector<ServerChange> Replace(
      const std::vector<SharedDocument>& documents, std::uint64_t revision,
      TimePoint read_at, TimePoint now);
  // Ends the grace of entries that lapsed while the store was away.
  std::vector<ServerChange> Tick(TimePoint now);

  // Servers by id, those that leave included.
  [[nodiscard]] const std::map<std::string, RegisteredServer>& servers() const {
    return this->usable;
  }
  // The server, or null when it is gone.
  [[nodiscard]] const RegisteredServer* Find(const std::string& id) const;

  // Revision up to which every change is known; 0 before the first reading.
  [[nodiscard]] std::uint64_t revision() const { return this->known_to; }
  // When the reading that led to `as_of` began.
  [[nodiscard]] TimePoint read_at() const { return this->last_read; }
  // The latest reading that is known of.
  [[nodiscard]] const StoreReadId& last_read_id() const { return this->latest; }
  // What an instance that knows everything up to `revision` lacks. It is whole
  // when this directory began later, since it never heard of what was removed
  // in between.
  [[nodiscard]] DirectoryUpdate UpdateSince(std::uint64_t revision) const;
  // Takes an update of another instance that is complete up to `as_of`; nothing
  // happens when it is older than what is known or something would be missed.
  std::vector<ServerChange> ApplyUpdate(const DirectoryUpdate& update,
                                        std::uint64_t revision,
                                        const StoreReadId& reading,
                                        TimePoint read_at, TimePoint now);

 private:
  struct Entry {
    SharedDocument document;
    // The last revision at which what it says changed, beside its sequence.
    std::uint64_t changed_at = 0;
    std::optional<RegisteredServer> server;
    // Set while a lapsed entry may still come back.
    std::optional<TimePoint> gone_at;
    TimePoint removed_at;
  };

  void ApplyOne(const SharedDocument& document, TimePoint now,
                std::vector<ServerChange>& changes);
  void Remove(Entry& entry, const SharedDocument& document, TimePoint now,
              std::vector<ServerChange>& changes);
  std::vector<ServerChange> ApplyAll(
      const std::vector<SharedDocument>& documents, TimePoint now);
  // The documents, and the removal of all others.
  [[nodiscard]] std::vector<SharedDocument> WithRemovals(
      const std::vector<SharedDocument>& documents,
      std::uint64_t revision) const;
  void NoteReading(std::uint64_t revision, const StoreReadId& reading,
                   TimePoint read_at, TimePoint now);

  const ServerDecoder& decoder;
  std::uint64_t reader;
  std::uint64_t own_readings = 0;
  StoreReadId latest;
  // The last reading heard of, by reader.
  std::map<std::uint64_t, std::uint64_t> heard;
  std::map<std::string, Entry> entries;
  std::map<std::string, RegisteredServer> usable;
  std::uint64_t known_to = 0;
  // Every removal after this revision is remembered.
  std::uint64_t removals_since = 0;
  TimePoint last_read;
  // Until when entries that are missing may have lapsed only for an outage.
  TimePoint lapse_grace_until;
};

}  // namespace rosemarycove
