#include "wire/framing.h"

#include <flatbuffers/flatbuffers.h>

namespace rosemarycove {
namespace {

using Length = std::uint32_t;

}  // namespace

std::string PrependLength(const std::uint8_t* body, std::size_t size) {
  std::string frame(sizeof(Length), '\0');
  flatbuffers::WriteScalar(frame.data(), static_cast<Length>(size));
  frame.append(reinterpret_cast<const char*>(body), size);
  return frame;
}

tl::expected<std::optional<std::vector<std::uint8_t>>, FrameError>
ExtractFrameBody(std::string& bytes, std::size_t max_size) {
  if (bytes.size() < sizeof(Length)) {
    return std::nullopt;
  }
  const auto size = flatbuffers::ReadScalar<Length>(bytes.data());
  if (size > max_size) {
    return tl::unexpected(FrameError::kTooLong);
  }
  if (bytes.size() < sizeof(Length) + size) {
    return std::nullopt;
  }
  const auto start = bytes.begin() + sizeof(Length);
  std::vector<std::uint8_t> body(start, start + size);
  bytes.erase(0, sizeof(Length) + size);
  return body;
}

}  // namespace rosemarycove
