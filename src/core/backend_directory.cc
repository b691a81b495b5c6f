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

std::string_view ToString(DirectoryChange change) {
  switch (change) {
    case DirectoryChange::kAppeared:
      return "appeared";
    case DirectoryChange::kChanged:
      return "changed";
    case DirectoryChange::kRestarted:
      return "restarted";
    case DirectoryChange::kLeaving:
      return "leaving";
    case DirectoryChange::kGone:
      return "gone";
    case DirectoryChange::kUnreadable:
      return "unreadable";
  }
  return "unknown";
}

void BackendDirectory::NoteReading(std::uint64_t as_of,
                                   const DirectoryReading& reading,
                                   TimePoint read_at, TimePoint now) {
  if (as_of == 0) {
    return;
  }
  const bool first_time = this->known_to == 0;
  if (first_time) {
    this->removals_since = as_of;
  }
  this->known_to = std::max(this->known_to, as_of);
  if (this->heard.size() > kMostReaders) {
    this->heard.clear();
  }
  std::uint64_t& last_number = this->heard[reading.reader];
  if (reading.number <= last_number) {
    return;
  }
  last_number = reading.number;
  if (read_at < this->last_read) {
    return;
  }
  if (!first_time && read_at - this->last_read > kOutage) {
    this->lapse_grace_until = now + kLapseGrace;
  }
  this->last_read = read_at;
  this->latest = reading;
}

std::vector<DirectoryNews> BackendDirectory::ApplyAll(
    const std::vector<SharedDocument>& documents, TimePoint now) {
  std::vector<DirectoryNews> news;
  for (const SharedDocument& document : documents) {
    this->ApplyOne(document, now, news);
  }
  return news;
}

std::vector<SharedDocument> BackendDirectory::WithRemovals(
    const std::vector<SharedDocument>& documents, std::uint64_t as_of) const {
  std::set<std::string> named;
  for (const SharedDocument& document : documents) {
    named.insert(document.key);
  }
  std::vector<SharedDocument> all = documents;
  for (const auto& [key, entry] : this->entries) {
    if (!entry.document.removed && !named.contains(key) &&
        entry.document.revision <= as_of) {
      all.push_back({.key = key, .revision = as_of, .removed = true});
    }
  }
  return all;
}

std::vector<DirectoryNews> BackendDirectory::Apply(
    const std::vector<SharedDocument>& documents, std::uint64_t as_of,
    TimePoint read_at, TimePoint now) {
  this->NoteReading(as_of,
                    {.reader = this->reader, .number = ++this->own_readings},
                    read_at, now);
  return this->ApplyAll(documents, now);
}

std::vector<DirectoryNews> BackendDirectory::Replace(
    const std::vector<SharedDocument>& documents, std::uint64_t as_of,
    TimePoint read_at, TimePoint now) {
  return this->Apply(this->WithRemovals(documents, as_of), as_of, read_at, now);
}

void BackendDirectory::ApplyOne(const SharedDocument& document, TimePoint now,
                                std::vector<DirectoryNews>& news) {
  Entry& entry = this->entries[document.key];
  if (document.revision <= entry.document.revision) {
    return;
  }
  if (document.removed) {
    this->Remove(entry, document, now, news);
    return;
  }
  std::optional<RegisteredServer> server = this->decoder.Decode(document);
  const std::optional<RegisteredServer> before = std::move(entry.server);
  const bool same = server.has_value() && server == before &&
                    !entry.document.removed && !entry.gone_at;
  entry.document = document;
  entry.gone_at.reset();
  entry.server = server;
  if (same) {
    return;
  }
  entry.changed_at = document.revision;
  if (!server) {
    this->usable.erase(document.key);
    news.push_back({.change = DirectoryChange::kUnreadable,
                    .server = {.id = document.key},
                    .revision = document.revision});
    return;
  }
  DirectoryChange change = DirectoryChange::kChanged;
  if (!before) {
    change = DirectoryChange::kAppeared;
  } else if (before->incarnation != server->incarnation) {
    change = DirectoryChange::kRestarted;
  } else if (server->leaving && !before->leaving) {
    change = DirectoryChange::kLeaving;
  }
  this->usable[document.key] = *server;
  if (server != before) {
    news.push_back(
        {.change = change, .server = *server, .revision = document.revision});
  }
}

void BackendDirectory::Remove(Entry& entry, const SharedDocument& document,
                              TimePoint now, std::vector<DirectoryNews>& news) {
  const bool was_leaving = entry.server && entry.server->leaving;
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
  news.push_back({.change = DirectoryChange::kGone,
                  .server = *entry.server,
                  .revision = document.revision});
  entry.server.reset();
  this->usable.erase(document.key);
}

std::vector<DirectoryNews> BackendDirectory::Tick(TimePoint now) {
  std::vector<DirectoryNews> news;
  for (auto item = this->entries.begin(); item != this->entries.end();) {
    Entry& entry = item->second;
    if (entry.gone_at && now >= *entry.gone_at) {
      news.push_back({.change = DirectoryChange::kGone,
                      .server = *entry.server,
                      .revision = entry.document.revision});
      this->usable.erase(item->first);
      entry.server.reset();
      entry.gone_at.reset();
    }
    const bool forget = entry.document.removed && !entry.gone_at &&
                        now - entry.removed_at > kKeepRemovals;
    if (forget) {
      this->removals_since =
          std::max(this->removals_since, entry.document.revision);
    }
    item = forget ? this->entries.erase(item) : std::next(item);
  }
  return news;
}

const RegisteredServer* BackendDirectory::Find(const std::string& id) const {
  const auto found = this->usable.find(id);
  return found == this->usable.end() ? nullptr : &found->second;
}

DirectoryUpdate BackendDirectory::UpdateSince(std::uint64_t revision) const {
  DirectoryUpdate update{.since = revision,
                         .whole = revision < this->removals_since};
  for (const auto& [key, entry] : this->entries) {
    const bool wanted =
        update.whole ? !entry.document.removed : entry.changed_at > revision;
    if (wanted) {
      update.documents.push_back(entry.document);
    }
  }
  return update;
}

std::vector<DirectoryNews> BackendDirectory::ApplyUpdate(
    const DirectoryUpdate& update, std::uint64_t as_of,
    const DirectoryReading& reading, TimePoint read_at, TimePoint now) {
  const bool misses_something = !update.whole && this->known_to < update.since;
  if (as_of == 0 || as_of < this->known_to || misses_something) {
    return {};
  }
  this->NoteReading(as_of, reading, read_at, now);
  return this->ApplyAll(update.whole
                            ? this->WithRemovals(update.documents, as_of)
                            : update.documents,
                        now);
}

}  // namespace rosemarycove
