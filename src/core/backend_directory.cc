#include "core/backend_directory.h"

#include <set>
#include <utility>

namespace rosemarycove {
namespace {

// A reading this much older than the one before it tells of an outage. Servers
// write every one to two seconds and their entries live three of those.
constexpr Duration kOutage = std::chrono::milliseconds(2500);
// Servers that are alive are back in the store this long after an outage.
constexpr Duration kLapseGrace = std::chrono::seconds(2);
// Readers that are remembered; a few read at any time, and a process that
// starts again is another one.
constexpr std::size_t kMostReaders = 256;
// Removals are kept this long to be passed on to instances that lag.
constexpr Duration kKeepRemovals = std::chrono::seconds(120);

}  // namespace

std::string_view ToString(ServerChangeKind kind) {
  switch (kind) {
    case ServerChangeKind::kAppeared:
      return "appeared";
    case ServerChangeKind::kChanged:
      return "changed";
    case ServerChangeKind::kRestarted:
      return "restarted";
    case ServerChangeKind::kLeaving:
      return "leaving";
    case ServerChangeKind::kGone:
      return "gone";
    case ServerChangeKind::kUnreadable:
      return "unreadable";
  }
  return "unknown";
}

void BackendDirectory::NoteReading(std::uint64_t revision,
                                   const StoreReadId& reading,
                                   TimePoint read_at, TimePoint now) {
  if (revision == 0) {
    return;
  }
  const bool first_time = this->known_to == 0;
  if (first_time) {
    this->removals_since = revision;
  }
  this->known_to = std::max(this->known_to, revision);
  if (this->heard.size() > kMostReaders) {
    this->heard.clear();
  }
  std::uint64_t& last_number = this->heard[reading.reader];
  if (reading.sequence <= last_number) {
    return;
  }
  last_number = reading.sequence;
  if (read_at < this->last_read) {
    return;
  }
  if (!first_time && read_at - this->last_read > kOutage) {
    this->lapse_grace_until = now + kLapseGrace;
  }
  this->last_read = read_at;
  this->latest = reading;
}

std::vector<ServerChange> BackendDirectory::ApplyAll(
    const std::vector<SharedDocument>& documents, TimePoint now) {
  std::vector<ServerChange> changes;
  for (const SharedDocument& document : documents) {
    this->ApplyOne(document, now, changes);
  }
  return changes;
}

std::vector<SharedDocument> BackendDirectory::WithRemovals(
    const std::vector<SharedDocument>& documents,
    std::uint64_t revision) const {
  std::set<std::string> named;
  for (const SharedDocument& document : documents) {
    named.insert(document.key);
  }
  std::vector<SharedDocument> all = documents;
  for (const auto& [key, entry] : this->entries) {
    if (!entry.document.is_removed && !named.contains(key) &&
        entry.document.revision <= revision) {
      all.push_back({.key = key, .revision = revision, .is_removed = true});
    }
  }
  return all;
}

std::vector<ServerChange> BackendDirectory::Apply(
    const std::vector<SharedDocument>& documents, std::uint64_t revision,
    TimePoint read_at, TimePoint now) {
  this->NoteReading(revision,
                    {.reader = this->reader, .sequence = ++this->own_readings},
                    read_at, now);
  return this->ApplyAll(documents, now);
}

std::vector<ServerChange> BackendDirectory::Replace(
    const std::vector<SharedDocument>& documents, std::uint64_t revision,
    TimePoint read_at, TimePoint now) {
  return this->Apply(this->WithRemovals(documents, revision), revision, read_at,
                     now);
}

void BackendDirectory::ApplyOne(const SharedDocument& document, TimePoint now,
                                std::vector<ServerChange>& changes) {
  Entry& entry = this->entries[document.key];
  if (document.revision <= entry.document.revision) {
    return;
  }
  if (document.is_removed) {
    this->Remove(entry, document, now, changes);
    return;
  }
  std::optional<RegisteredServer> server = this->decoder.Decode(document);
  const std::optional<RegisteredServer> before = std::move(entry.server);
  const bool same = server.has_value() && server == before &&
                    !entry.document.is_removed && !entry.gone_at;
  entry.document = document;
  entry.gone_at.reset();
  entry.server = server;
  if (same) {
    return;
  }
  entry.changed_at = document.revision;
  if (!server) {
    this->usable.erase(document.key);
    changes.push_back({.kind = ServerChangeKind::kUnreadable,
                       .server = {.id = document.key},
                       .revision = document.revision});
    return;
  }
  ServerChangeKind kind = ServerChangeKind::kChanged;
  if (!before) {
    kind = ServerChangeKind::kAppeared;
  } else if (before->incarnation != server->incarnation) {
    kind = ServerChangeKind::kRestarted;
  } else if (server->is_draining && !before->is_draining) {
    kind = ServerChangeKind::kLeaving;
  }
  this->usable[document.key] = *server;
  if (server != before) {
    changes.push_back(
        {.kind = kind, .server = *server, .revision = document.revision});
  }
}

void BackendDirectory::Remove(Entry& entry, const SharedDocument& document,
                              TimePoint now,
                              std::vector<ServerChange>& changes) {
  const bool was_leaving = entry.server && entry.server->is_draining;
  entry.document = document;
  entry.changed_at = document.revision;
  entry.removed_at = now;
  if (!entry.server) {
    return;
  }
  if (now < this->lapse_grace_until && !was_leaving) {
    entry.gone_at = this->lapse_grace_until;
    return;
  }
  changes.push_back({.kind = ServerChangeKind::kGone,
                     .server = *entry.server,
                     .revision = document.revision});
  entry.server.reset();
  this->usable.erase(document.key);
}

std::vector<ServerChange> BackendDirectory::Tick(TimePoint now) {
  std::vector<ServerChange> changes;
  for (auto item = this->entries.begin(); item != this->entries.end();) {
    Entry& entry = item->second;
    if (entry.gone_at && now >= *entry.gone_at) {
      changes.push_back({.kind = ServerChangeKind::kGone,
                         .server = *entry.server,
                         .revision = entry.document.revision});
      this->usable.erase(item->first);
      entry.server.reset();
      entry.gone_at.reset();
    }
    const bool forget = entry.document.is_removed && !entry.gone_at &&
                        now - entry.removed_at > kKeepRemovals;
    if (forget) {
      this->removals_since =
          std::max(this->removals_since, entry.document.revision);
    }
    item = forget ? this->entries.erase(item) : std::next(item);
  }
  return changes;
}

const RegisteredServer* BackendDirectory::Find(const std::string& id) const {
  const auto found = this->usable.find(id);
  return found == this->usable.end() ? nullptr : &found->second;
}

DirectoryUpdate BackendDirectory::UpdateSince(std::uint64_t revision) const {
  DirectoryUpdate update{.base_revision = revision,
                         .is_snapshot = revision < this->removals_since};
  for (const auto& [key, entry] : this->entries) {
    const bool wanted = update.is_snapshot ? !entry.document.is_removed
                                           : entry.changed_at > revision;
    if (wanted) {
      update.documents.push_back(entry.document);
    }
  }
  return update;
}

std::vector<ServerChange> BackendDirectory::ApplyUpdate(
    const DirectoryUpdate& update, std::uint64_t revision,
    const StoreReadId& reading, TimePoint read_at, TimePoint now) {
  const bool misses_something =
      !update.is_snapshot && this->known_to < update.base_revision;
  if (revision == 0 || revision < this->known_to || misses_something) {
    return {};
  }
  this->NoteReading(revision, reading, read_at, now);
  return this->ApplyAll(update.is_snapshot
                            ? this->WithRemovals(update.documents, revision)
                            : update.documents,
                        now);
}

}  // namespace rosemarycove
