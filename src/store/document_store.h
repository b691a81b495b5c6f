// Non-blocking reads of documents that others write to the platform's store.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "core/shared_document.h"
#include "core/types.h"

namespace rosemarycove {

// Why a read failed.
enum class ReadErrorKind : std::uint8_t {
  kUnavailable,  // The store refused the call, failed or did not respond.
  kHistoryGone,  // The store no longer keeps the requested changes; all
                 // documents must be read.
};

struct ReadError {
  ReadErrorKind kind = ReadErrorKind::kUnavailable;
  std::string message;
};

// The documents that a read returned.
struct ReadResult {
  std::vector<SharedDocument> documents;
  // The result contains every change up to this revision of the store.
  std::uint64_t as_of_revision = 0;
};

// Reads the documents of one part of the store. There is at most one call at a
// time. `done` is called exactly once, on the event loop, unless the call is
// cancelled.
class DocumentStore {
 public:
  using Done = std::function<void(tl::expected<ReadResult, ReadError>)>;

  virtual ~DocumentStore() = default;
  // Reads all documents.
  virtual void ReadAll(Done done) = 0;
  // Reads the changes after `revision`. If there are none, waits for a change
  // for up to `max_wait`.
  virtual void ReadChanges(std::uint64_t revision, Duration max_wait,
                           Done done) = 0;
  // Whether a call is in progress.
  [[nodiscard]] virtual bool is_busy() const = 0;
  // Drops the call in progress without calling its `done`.
  virtual void Cancel() = 0;
  // Fails the call in progress if it has timed out.
  virtual void Tick(TimePoint now) = 0;
};

}  // namespace rosemarycove
