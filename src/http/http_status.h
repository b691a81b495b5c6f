// The HTTP status codes that this program uses.
#pragma once

namespace rosemarycove::http_status {

inline constexpr int kOk = 200;
inline constexpr int kAccepted = 202;
// The lowest code that is not a success.
inline constexpr int kFirstNonSuccess = 300;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kForbidden = 403;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeadersTooLarge = 431;
// The caller closed its connection. Appears in logs only, never on the wire.
inline constexpr int kClientClosed = 499;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace rosemarycove::http_status
