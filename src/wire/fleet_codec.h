// Encodes and decodes the frames of fleet reports.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "core/fleet_report.h"
#include "wire/framing.h"

namespace rosemarycove {

// The version of the report format. Reports of another version are rejected.
inline constexpr std::uint32_t kFleetProtocolVersion = 1;
// The limit of a frame, in bytes, without its length prefix. A configuration in
// it can have a megabyte.
inline constexpr std::size_t kMaxFleetFrameBytes = std::size_t{3} << 20U;

// Encodes a report as a frame with a length prefix.
std::string EncodeFleetFrame(const FleetReport& report);

// Removes the first frame from `bytes` and decodes it. Returns nullopt when
// `bytes` doesn't contain a whole frame yet.
tl::expected<std::optional<FleetReport>, FrameError> DecodeFleetFrame(
    std::string& bytes);

}  // namespace rosemarycove
