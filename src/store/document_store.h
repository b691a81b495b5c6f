// The platform's store as a source of documents that others write.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "core/shared_document.h"
#include "core/types.h"

namespace rosemarycove {

// Why a reading gave nothing.
enum class ReadErrorKind : std::uint8_t {
  kUnavailable,  // The store refused, failed or did not answer.
  kHistoryGone,  // The changes asked for are no longer kept: read it all.
};

struct ReadError {
  ReadErrorKind kind = ReadErrorKind::kUnavailable;
  std::string message;
};

// Documents with the revision up to which they are complete.
struct ReadResult {
  std::vector<SharedDocument> documents;
  std::uint64_t as_of_revision = 0;
};

// Reads the documents of one part of the store, without blocking. One call at
// a time; `done` is called once, from the event loop, unless it is cancelled.
class DocumentStore {
 public:
  using Done = std::function<void(tl::expected<ReadResult, ReadError>)>;

  virtual ~DocumentStore() = default;
  // Reads all documents as they are now.
  virtual void ReadAll(Done done) = 0;
  // Reads what changed after `revision`; waits up to `wait` for a change.
  virtual void ReadChanges(std::uint64_t revision, Duration wait,
                           Done done) = 0;
  [[nodiscard]] virtual bool is_busy() const = 0;
  // Drops the call that is under way.
  virtual void Cancel() = 0;
  // Ends calls whose time is over.
  virtual void Tick(TimePoint now) = 0;
};

}  // namespace rosemarycove
