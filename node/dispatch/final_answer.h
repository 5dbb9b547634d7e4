/// @file
/// What a client gets for its request.
#pragma once

#include <functional>
#include <memory>

#include "http/message.h"

namespace nettleyoke::node {

/// A request's final answer.
struct FinalAnswer {
  enum class Kind { kServed, kRejected, kFailed };
  Kind kind = Kind::kFailed;
  double retry_after = 0;                    ///< rejected: s until the client may retry; 0: no advice
  HttpResponse response;                     ///< served: the server's
  std::shared_ptr<BodyPipe> body = nullptr;  ///< served: what the response does not hold, as it arrives
};

using AnswerCallback = std::function<void(FinalAnswer&&)>;

}  // namespace nettleyoke::node
