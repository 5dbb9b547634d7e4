/// @file
/// How long a client connection may stay in each of its states. Constants only.
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
/// For writing a response, or the next part of a relayed one, to a client.
constexpr std::chrono::seconds kWriteTimeout{5};
/// For a client to read the last response before its connection is closed.
constexpr std::chrono::milliseconds kLingerTimeout{500};
/// The same for a client that is still sending its request.
constexpr std::chrono::milliseconds kIncompleteRequestLingerTimeout{2500};
/// Between two checks for a client disconnect while the connection is not being read.
constexpr std::chrono::milliseconds kDisconnectPollInterval{100};

}  // namespace nettleyoke::node
