// The model of a server, without sockets.
#include "stand_ins/server_model.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <string>

namespace nettleyoke::lab {
namespace {

const char* name_of(ServerModel::Outcome outcome) {
  switch (outcome) {
    case ServerModel::Outcome::kServed:
      return "served";
    case ServerModel::Outcome::kFailed:
      return "failed";
    case ServerModel::Outcome::kRejected:
      return "rejected";
    case ServerModel::Outcome::kExpired:
      break;
  }
  return "expired";
}

TEST(ServerModel, OneSlotAndQueueOfTwo_FourRequestsBegin_OneRunsTwoWaitOneIsRejected) {
  boost::asio::io_context io;
  const node::Clock clock;
  ServerModel model(io, clock, {1, 1, 2, 1, 0});
  std::string ends;
  const auto begin = [&](const char* name, double deadline) {
    return model.begin(0.001, deadline, [&ends, name](ServerModel::Outcome outcome) {
      ends += std::string(name) + " " + name_of(outcome) + ", ";
    });
  };
  begin("first", 60);
  begin("second", 0);  // its deadline has passed by the time it could run
  const ServerModel::JobId third = begin("third", 60);
  begin("fourth", 60);
  model.cancel(third);
  io.run();
  EXPECT_EQ(ends, "fourth rejected, first served, second expired, ");
  EXPECT_EQ(model.running(), 0U);
}

}  // namespace
}  // namespace nettleyoke::lab
