/// @file
/// The final answer to a client's request.
#pragma once

#include <functional>
#include <memory>

#include "http/message.h"

namespace nettleyoke::node {

/// The outcome that the client gets for its request.
struct FinalAnswer {
  enum class Kind { kServed, kRejected, kFailed };
  Kind kind = Kind::kFailed;
  double retry_after = 0;                    ///< kRejected: s until the client may retry; 0: not stated
  HttpResponse response;                     ///< kServed: the server's response
  std::shared_ptr<BodyPipe> body = nullptr;  ///< kServed: the body if it is streamed; else null
};

using AnswerCallback = std::function<void(FinalAnswer&&)>;

}  // namespace nettleyoke::node
