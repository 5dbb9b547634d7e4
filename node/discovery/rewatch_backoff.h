/// @file
/// The backoff between watches on the endpoint list.
#pragma once

namespace nettleyoke::node {

/// Computes how long to wait before a watch that ended is opened again.
///
/// The backoff starts short and grows little: if lists are pushed, the node counts as notified of a change
/// whether or not a watch is open, and a draining server must get no new requests half a second later. The
/// jitter is needed because many nodes lose their watches at the same time and must not reconnect all at
/// once.
/// @param failures number of failed watches since a watch last received data
/// @param jitter uniformly distributed from 0 to 1
/// @return seconds
[[nodiscard]] double rewatch_backoff(int failures, double jitter);

}  // namespace nettleyoke::node
