/// The backoff between watches on the endpoint list.
#pragma once

namespace nettleyoke::node {

/// How long to wait before a watch that ended is opened again.
///
/// It starts short and grows little: where lists are pushed, a change counts as notified whether or not a
/// watch is open, and a drained server must get no new work half a second later. It is jittered, for many
/// nodes lose their watches together and must not all come back at once.
/// @param failures watches since the last one that brought anything.
/// @param jitter from 0 to 1, uniform.
/// @return seconds.
[[nodiscard]] double rewatch_backoff(int failures, double jitter);

}  // namespace nettleyoke::node
