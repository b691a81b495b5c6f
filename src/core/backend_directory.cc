#include "core/backend_directory.h"

#include <set>
#include <utility>

#include "core/store_revision.h"

namespace rosemarycove {
namespace {

// A longer time between two reads means that the store was unavailable. Servers
// renew their entries every one to two seconds; an entry expires after three
// such periods.
constexpr Duration kOutage = std::chrono::milliseconds(2500);
// Running servers renew their entries within this time after an outage.
constexpr Duration kExpiryGrace = std::chrono::seconds(2);
// Maximum number of readers whose last read is recorded: few instances read at
// a time, but a restarted process is a new reader.
constexpr std::size_t kMaxReaders = 256;
// Tombstones are kept this long for instances that lag behind.
constexpr Duration kTombstoneRetention = std::chrono::seconds(120);
// An entry that a restored store still has after this time, which is longer
// than an entry lasts without being renewed, belongs to a running server.
constexpr Duration kMaxEntryLifetime = std::chrono::seconds(10);

}  // namespace

std::string_view ToString(ServerChangeKind kind) {
  switch (kind) {
    case ServerChangeKind::kAppeared:
      return "appeared";
    case ServerChangeKind::kChanged:
      return "changed";
    case ServerChangeKind::kRestarted:
      return "restarted";
    case ServerChangeKind::kDraining:
      return "leaving";
    case ServerChangeKind::kGone:
      return "gone";
    case ServerChangeKind::kUnreadable:
      return "unreadable";
  }
  return "unknown";
}

void BackendDirectory::RecordRead(std::uint64_t revision,
                                  const StoreReadId& read_id, TimePoint read_at,
                                  TimePoint now) {
  if (revision == 0) {
    return;
  }
  const bool is_first_read = this->complete_to == 0;
  const bool was_restored =
      !is_first_read && EraOf(revision) > EraOf(this->complete_to);
  if (is_first_read || was_restored) {
    this->tombstones_since = revision;
  }
  if (was_restored) {
    // Servers that registered after the copy was made do so again.
    this->expiry_grace_until = now + kExpiryGrace;
  }
  this->complete_to = std::max(this->complete_to, revision);
  if (this->last_sequence_by_reader.size() > kMaxReaders) {
    this->last_sequence_by_reader.clear();
  }
  std::uint64_t& last_sequence = this->last_sequence_by_reader[read_id.reader];
  if (read_id.sequence <= last_sequence) {
    return;
  }
  last_sequence = read_id.sequence;
  if (read_at < this->last_read_at) {
    return;
  }
  if (!is_first_read && read_at - this->last_read_at > kOutage) {
    this->expiry_grace_until = now + kExpiryGrace;
    // During the outage, no entry had to be renewed.
    for (auto& [key, entry] : this->entries) {
      if (entry.held_since) {
        entry.held_since = now;
      }
    }
  }
  this->last_read_at = read_at;
  this->last_read = read_id;
}

std::vector<ServerChange> BackendDirectory::ApplyAll(
    const std::vector<SharedDocument>& documents, TimePoint now) {
  std::vector<ServerChange> changes;
  for (const SharedDocument& document : documents) {
    this->ApplyOne(document, now, changes);
  }
  return changes;
}

std::vector<SharedDocument> BackendDirectory::WithTombstones(
    const std::vector<SharedDocument>& documents,
    std::uint64_t revision) const {
  std::set<std::string> present;
  for (const SharedDocument& document : documents) {
    present.insert(document.key);
  }
  std::vector<SharedDocument> all = documents;
  for (const auto& [key, entry] : this->entries) {
    if (!entry.document.is_removed && !present.contains(key) &&
        entry.document.revision <= revision) {
      all.push_back({.key = key, .revision = revision, .is_removed = true});
    }
  }
  return all;
}

std::vector<ServerChange> BackendDirectory::Apply(
    const std::vector<SharedDocument>& documents, std::uint64_t revision,
    TimePoint read_at, TimePoint now) {
  if (EraOf(revision) < EraOf(this->complete_to)) {
    return {};
  }
  this->RecordRead(revision,
                   {.reader = this->reader, .sequence = ++this->own_read_count},
                   read_at, now);
  return this->ApplyAll(documents, now);
}

std::vector<ServerChange> BackendDirectory::Replace(
    const std::vector<SharedDocument>& documents, std::uint64_t revision,
    TimePoint read_at, TimePoint now) {
  return this->Apply(this->WithTombstones(documents, revision), revision,
                     read_at, now);
}

std::optional<RegisteredServer> BackendDirectory::KeepLeft(
    Entry& entry, SharedDocument& document, TimePoint now,
    std::optional<RegisteredServer> server) const {
  const bool may_be_outdated =
      entry.document.revision != 0 &&
      EraOf(document.revision) > EraOf(entry.document.revision);
  const std::optional<RegisteredServer>& known = entry.server;
  const bool has_restarted = server && known && may_be_outdated &&
                             server->incarnation < known->incarnation;
  const bool still_drains = server && known &&
                            server->incarnation == known->incarnation &&
                            !server->is_draining && known->is_draining &&
                            (may_be_outdated || entry.keeps_draining);
  entry.keeps_draining = still_drains;
  if (has_restarted || still_drains) {
    document.value = entry.document.value;
    return known;
  }
  const bool returns_from_copy =
      may_be_outdated && entry.document.is_removed && !known;
  const bool is_held = server && entry.gone_incarnation &&
                       server->incarnation <= *entry.gone_incarnation &&
                       (returns_from_copy || entry.held_since);
  if (!is_held) {
    entry.held_since.reset();
    return server;
  }
  if (returns_from_copy) {
    entry.held_since = now;
  }
  return std::nullopt;
}

void BackendDirectory::ApplyOne(const SharedDocument& received, TimePoint now,
                                std::vector<ServerChange>& changes) {
  Entry& entry = this->entries[received.key];
  if (received.revision <= entry.document.revision) {
    return;
  }
  if (received.is_removed) {
    this->Remove(entry, received, now, changes);
    return;
  }
  SharedDocument document = received;
  const tl::expected<RegisteredServer, std::string> decoded =
      this->decoder.Decode(document);
  if (!decoded) {
    this->MarkUnreadable(entry, document, decoded.error(), changes);
    return;
  }
  const std::optional<RegisteredServer> server =
      this->KeepLeft(entry, document, now, *decoded);
  entry.is_unreadable = false;
  const std::optional<RegisteredServer> before = std::move(entry.server);
  const bool is_unchanged = server.has_value() && server == before &&
                            !entry.document.is_removed && !entry.grace_end;
  entry.document = document;
  entry.grace_end.reset();
  entry.server = server;
  if (is_unchanged) {
    return;
  }
  entry.changed_revision = document.revision;
  if (!server) {
    return;
  }
  ServerChangeKind kind = ServerChangeKind::kChanged;
  if (!before) {
    kind = ServerChangeKind::kAppeared;
  } else if (before->incarnation != server->incarnation) {
    kind = ServerChangeKind::kRestarted;
  } else if (server->is_draining && !before->is_draining) {
    kind = ServerChangeKind::kDraining;
  }
  this->usable_servers[document.key] = *server;
  if (before != *server) {
    changes.push_back(
        {.kind = kind, .server = *server, .revision = document.revision});
  }
}

void BackendDirectory::MarkUnreadable(Entry& entry,
                                      const SharedDocument& document,
                                      const std::string& fault,
                                      std::vector<ServerChange>& changes) {
  // The value is of no use to other instances and may have any size.
  entry.document = {.key = document.key, .revision = document.revision};
  if (entry.is_unreadable) {
    return;
  }
  entry.is_unreadable = true;
  entry.held_since.reset();
  entry.keeps_draining = false;
  entry.changed_revision = document.revision;
  entry.grace_end.reset();
  entry.server.reset();
  this->usable_servers.erase(document.key);
  changes.push_back({.kind = ServerChangeKind::kUnreadable,
                     .server = {.id = document.key},
                     .revision = document.revision,
                     .fault = fault});
}

void BackendDirectory::Remove(Entry& entry, const SharedDocument& document,
                              TimePoint now,
                              std::vector<ServerChange>& changes) {
  const bool was_draining = entry.server && entry.server->is_draining;
  entry.document = document;
  entry.changed_revision = document.revision;
  entry.removed_at = now;
  entry.is_unreadable = false;
  entry.held_since.reset();
  entry.keeps_draining = false;
  if (!entry.server) {
    return;
  }
  if (now < this->expiry_grace_until && !was_draining) {
    entry.grace_end = this->expiry_grace_until;
    return;
  }
  changes.push_back({.kind = ServerChangeKind::kGone,
                     .server = *entry.server,
                     .revision = document.revision});
  entry.gone_incarnation = entry.server->incarnation;
  entry.server.reset();
  this->usable_servers.erase(document.key);
}

std::vector<ServerChange> BackendDirectory::Tick(TimePoint now) {
  std::vector<ServerChange> changes;
  for (auto item = this->entries.begin(); item != this->entries.end();) {
    Entry& entry = item->second;
    if (entry.grace_end && now >= *entry.grace_end) {
      changes.push_back({.kind = ServerChangeKind::kGone,
                         .server = *entry.server,
                         .revision = entry.document.revision});
      this->usable_servers.erase(item->first);
      entry.gone_incarnation = entry.server->incarnation;
      entry.server.reset();
      entry.grace_end.reset();
    }
    if (entry.held_since &&
        this->last_read_at - *entry.held_since > kMaxEntryLifetime) {
      this->ReleaseHeld(entry, changes);
    }
    const bool drop = entry.document.is_removed && !entry.grace_end &&
                      now - entry.removed_at > kTombstoneRetention;
    if (drop) {
      this->tombstones_since =
          std::max(this->tombstones_since, entry.document.revision);
    }
    item = drop ? this->entries.erase(item) : std::next(item);
  }
  return changes;
}

void BackendDirectory::ReleaseHeld(Entry& entry,
                                   std::vector<ServerChange>& changes) {
  entry.held_since.reset();
  const auto server = this->decoder.Decode(entry.document);
  if (!server) {
    return;
  }
  entry.server = *server;
  this->usable_servers[entry.document.key] = *entry.server;
  changes.push_back({.kind = ServerChangeKind::kAppeared,
                     .server = *entry.server,
                     .revision = entry.document.revision});
}

const RegisteredServer* BackendDirectory::Find(const std::string& id) const {
  const auto found = this->usable_servers.find(id);
  return found == this->usable_servers.end() ? nullptr : &found->second;
}

DirectoryUpdate BackendDirectory::UpdateSince(std::uint64_t revision) const {
  DirectoryUpdate update{.base_revision = revision,
                         .is_snapshot = revision < this->tombstones_since};
  for (const auto& [key, entry] : this->entries) {
    const bool included = update.is_snapshot
                              ? !entry.document.is_removed
                              : entry.changed_revision > revision;
    if (included) {
      update.documents.push_back(entry.document);
    }
  }
  return update;
}

std::vector<ServerChange> BackendDirectory::ApplyUpdate(
    const DirectoryUpdate& update, std::uint64_t revision,
    const StoreReadId& read_id, TimePoint read_at, TimePoint now) {
  const bool leaves_gap =
      !update.is_snapshot && this->complete_to < update.base_revision;
  if (revision == 0 || revision < this->complete_to || leaves_gap) {
    return {};
  }
  this->RecordRead(revision, read_id, read_at, now);
  return this->ApplyAll(update.is_snapshot
                            ? this->WithTombstones(update.documents, revision)
                            : update.documents,
                        now);
}

}  // namespace rosemarycove
