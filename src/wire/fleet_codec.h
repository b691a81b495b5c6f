// Turns fleet reports into frames and back.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <tl/expected.hpp>

#include "core/fleet_report.h"
#include "wire/framing.h"

namespace rosemarycove {

// The version of the reports; other ones are refused.
inline constexpr std::uint32_t kFleetProtocolVersion = 1;
// Largest frame, in bytes: a configuration may be a megabyte.
inline constexpr std::size_t kMaxFleetFrameBytes = std::size_t{3} << 20U;

// A frame with its length in front.
std::string EncodeFleetFrame(const FleetReport& report);

// Takes one whole frame off the front of `bytes`. Empty when more is needed.
tl::expected<std::optional<FleetReport>, FrameError> DecodeFleetFrame(
    std::string& bytes);

}  // namespace rosemarycove
