#include "downstream/forwarded_request.h"

#include "http/message_memory.h"

namespace nettleyoke::node {

namespace {

/// Approximate memory of a request beside its fields and its body.
constexpr std::size_t kRequestOverheadBytes = 512;

}  // namespace

bool ForwardedRequest::reserve_for(const HttpRequest& request) {
  return reservation.try_resize(kRequestOverheadBytes + fields_memory_bytes(request) +
                                request.body().capacity());
}

void rewrite_for_server(HttpRequest& request, const BodyPipe* upload) {
  remove_hop_by_hop_fields(request);
  request.erase("X-Timeout-Ms");
  if (upload == nullptr) {
    request.prepare_payload();
  } else if (const auto length = upload->length()) {
    request.content_length(*length);
  } else {
    request.chunked(true);
  }
  request.version(11);
}

}  // namespace nettleyoke::node
