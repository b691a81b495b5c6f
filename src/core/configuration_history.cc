#include "core/configuration_history.h"

#include <algorithm>
#include <utility>

#include "core/load_ledger.h"

namespace rosemarycove {
namespace {

// More versions than follow each other between two reports of an instance.
constexpr std::size_t kMaxEarlier = 32;
// The store's limit of a value.
constexpr std::size_t kMaxDocumentBytes = std::size_t{2} << 20U;

}  // namespace

std::uint64_t DocumentHash(std::string_view value) {
  return std::max<std::uint64_t>(1, IdHash(value));
}

std::string_view ToString(UpdateError error) {
  switch (error) {
    case UpdateError::kUnknownBase:
      return "unknown_base";
    case UpdateError::kMalformed:
      return "malformed";
  }
  return "unknown";
}

void ConfigurationHistory::Add(SharedDocument document) {
  const std::uint64_t new_hash = DocumentHash(document.value);
  if (this->hash != 0 && this->hash != new_hash) {
    this->earlier.push_front(
        {.hash = this->hash,
         .size = this->latest_document.value.size(),
         .difference = this->codec.Compress(this->latest_document.value,
                                            document.value)});
    if (this->earlier.size() > kMaxEarlier) {
      this->earlier.pop_back();
    }
  }
  this->latest_document = std::move(document);
  this->hash = new_hash;
  this->updates.clear();
}

std::optional<std::string> ConfigurationHistory::Find(
    std::uint64_t wanted) const {
  if (wanted == 0) {
    return std::nullopt;
  }
  std::string value = this->latest_document.value;
  if (wanted == this->hash) {
    return value;
  }
  const bool is_known = std::any_of(
      this->earlier.begin(), this->earlier.end(),
      [wanted](const Earlier& item) { return item.hash == wanted; });
  if (!is_known) {
    return std::nullopt;
  }
  for (const Earlier& item : this->earlier) {
    auto restored = this->codec.Restore(item.difference, value, item.size);
    if (!restored || item.hash == wanted) {
      return restored;
    }
    value = std::move(*restored);
  }
  return std::nullopt;
}

const ConfigurationUpdate& ConfigurationHistory::UpdateFrom(
    std::uint64_t base_hash) {
  const auto known = this->updates.find(base_hash);
  if (known != this->updates.end()) {
    return known->second;
  }
  const std::optional<std::string> base = this->Find(base_hash);
  if (!base && base_hash != 0) {
    return this->UpdateFrom(0);
  }
  return this->updates
      .emplace(base_hash,
               ConfigurationUpdate{
                   .key = this->latest_document.key,
                   .revision = this->latest_document.revision,
                   .base_hash = base_hash,
                   .hash = this->hash,
                   .size = this->latest_document.value.size(),
                   .bytes = this->codec.Compress(this->latest_document.value,
                                                 base.value_or(""))})
      .first->second;
}

tl::expected<SharedDocument, UpdateError> ConfigurationHistory::Apply(
    const ConfigurationUpdate& update) const {
  std::optional<std::string> base;
  if (update.base_hash != 0) {
    base = this->Find(update.base_hash);
    if (!base) {
      return tl::unexpected(UpdateError::kUnknownBase);
    }
  }
  if (update.size > kMaxDocumentBytes) {
    return tl::unexpected(UpdateError::kMalformed);
  }
  auto value =
      this->codec.Restore(update.bytes, base.value_or(""), update.size);
  if (!value || DocumentHash(*value) != update.hash) {
    return tl::unexpected(UpdateError::kMalformed);
  }
  return SharedDocument{.key = update.key,
                        .revision = update.revision,
                        .value = std::move(*value)};
}

}  // namespace rosemarycove
