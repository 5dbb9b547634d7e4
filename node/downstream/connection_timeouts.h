/// @file
/// How long a client connection may stay in each of its states, and how slow its client may be. Constants
/// only. WriteProgress has those of a response that is being written.
#pragma once

#include <chrono>

namespace nettleyoke::node {

/// From accepting a connection to the last byte of its first request's head. At this timeout a client that
/// has begun its request gets a 408 and any other is closed, so that either happens within 3 s.
constexpr std::chrono::milliseconds kFirstRequestTimeout{2500};
/// From the first byte of a later request to the end of its head.
constexpr std::chrono::milliseconds kRequestHeadTimeout{2500};
/// Between two parts of a request body.
constexpr std::chrono::milliseconds kMaxBodyPause{800};
/// Between two requests.
constexpr std::chrono::seconds kIdleTimeout{10};
/// After a client error, before the next request is read.
constexpr std::chrono::milliseconds kErrorPause{100};
/// For a client to read the last response before its connection is closed.
constexpr std::chrono::milliseconds kLingerTimeout{500};
/// The same for a client that is still sending its request.
constexpr std::chrono::milliseconds kIncompleteRequestLingerTimeout{2500};
/// Between two checks for a client disconnect while the connection is not being read.
constexpr std::chrono::milliseconds kDisconnectPollInterval{100};
/// Half the rate of the slowest clients that are entitled to a response, for sending and for taking a body.
constexpr double kMinClientBytesPerSecond = 32e3;

}  // namespace nettleyoke::node
