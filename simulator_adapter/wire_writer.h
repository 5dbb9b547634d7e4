/// @file
/// Writes the simulator's wire protocol: the reply to a batch is one line of JSON with the actions of each
/// replica. Only this writer uses the protocol's names for output. It makes no decisions.
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

/// Writes one reply at a time into a reused buffer: begin(), add_replica() for each replica, end(). begin()
/// discards an unfinished reply.
class WireWriter {
 public:
  /// @param turn Number of the batch.
  void begin(std::uint64_t turn);

  /// Adds the actions of a replica. A replica without actions and error is left out of the reply.
  /// @param error Message of the exception that the library threw, if any.
  void add_replica(int replica_id, const std::vector<Action>& actions,
                   const std::optional<std::string>& error);

  void end();

  /// The reply, without a newline. Valid until the next begin().
  [[nodiscard]] std::string_view reply() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  rapidjson::StringBuffer buffer_;
  rapidjson::Writer<rapidjson::StringBuffer> json_;
};

}  // namespace nettleyoke::simulator_adapter
