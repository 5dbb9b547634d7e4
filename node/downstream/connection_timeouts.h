/// @file
/// How long a client's connection may stay in each of its states. Only constants.
#pragma once

#include <chrono>

namespace nettleyoke::node {

/// From the connection to the last byte of its first request. A client that has not sent it by then is
/// answered or closed within 3 s.
constexpr std::chrono::milliseconds kFirstRequestTimeout{2500};
/// From the first byte of a later request to the end of its head.
constexpr std::chrono::milliseconds kRequestHeadTimeout{2500};
/// Between two parts of a body.
constexpr std::chrono::milliseconds kMaxBodyPause{800};
/// Between two requests.
constexpr std::chrono::seconds kIdleTimeout{10};
/// After an error of the client's, before its next request is read.
constexpr std::chrono::milliseconds kErrorPause{100};
/// For a client to take an answer, or the next part of one.
constexpr std::chrono::seconds kWriteTimeout{5};
/// For a client to read the last answer before its connection is closed.
constexpr std::chrono::milliseconds kLingerTimeout{500};
/// The same for one that is still sending its request.
constexpr std::chrono::milliseconds kIncompleteRequestLingerTimeout{2500};
/// Between looks at whether a client is there that is not read from while it waits.
constexpr std::chrono::milliseconds kDisconnectPollInterval{100};

}  // namespace nettleyoke::node
