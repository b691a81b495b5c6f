// The version of the program.
#pragma once

namespace rosemarycove {

inline constexpr char kVersion[] = "0.1.0";

}  // namespace rosemarycove
