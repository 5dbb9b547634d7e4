/// @file
/// The simulator's wire, written: one line of JSON with the actions of each replica.
/// This is the only place that knows the wire's words for what goes out; it decides nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "nettleyoke/balancer.h"
#include "rapidjson/stringbuffer.h"
#include "rapidjson/writer.h"

namespace nettleyoke::simulator_adapter {

/// Writes one reply at a time into a buffer that it keeps: begin(), add_replica() for each replica that has
/// something to say, end(). A reply that was begun and not ended is dropped by the next begin().
class WireWriter {
 public:
  void begin(std::uint64_t turn);

  /// Adds what a replica did. Nothing is written for one that did nothing.
  /// @param fault what the library threw, if it did
  void add_replica(int replica_id, const std::vector<Action>& actions,
                   const std::optional<std::string>& fault);

  void end();

  /// The reply, without a line's end. Valid until the next begin().
  [[nodiscard]] std::string_view reply() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> json_;
};

}  // namespace nettleyoke::simulator_adapter
