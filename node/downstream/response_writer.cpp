#include "downstream/response_writer.h"

namespace nettleyoke::node {

void ResponseWriter::prepare(HttpResponse&& response, bool keep_alive) {
  response_ = std::move(response);
  response_.version(11);
  response_.keep_alive(keep_alive);
  response_.prepare_payload();
  serializer_.emplace(response_);
}

void ResponseWriter::release() {
  serializer_.reset();
  response_ = {};
}

bool ResponseWriter::prepare_relay(HttpResponse&& response, std::shared_ptr<BodyPipe> source,
                                   unsigned http_version, bool keep_alive) {
  source_ = std::move(source);
  response_.result(response.result());
  relayed_.emplace();
  relayed_->base() = std::move(response.base());
  relayed_->version(11);
  if (const auto length = source_->length()) {
    relayed_->content_length(*length);
  } else if (http_version >= 11) {
    relayed_->chunked(true);
  } else {
    keep_alive = false;
  }
  relayed_->keep_alive(keep_alive);
  relayed_->body().more = true;
  relayed_serializer_.emplace(*relayed_);
  relayed_serializer_->split(true);  // the head does not wait for the first bytes of the body
  return keep_alive;
}

ResponseWriter::Chunk ResponseWriter::next_chunk() {
  chunk_ = source_->take();
  const bool is_end = chunk_.empty() && source_->is_complete();
  if (chunk_.empty() && !is_end) return source_->is_aborted() ? Chunk::kAborted : Chunk::kNotYet;
  boost::beast::http::buffer_body::value_type& body = relayed_->body();
  body.data = is_end ? nullptr : chunk_.data();
  body.size = chunk_.size();
  body.more = !is_end;
  return is_end ? Chunk::kEnd : Chunk::kBytes;
}

void ResponseWriter::finish_relay() {
  source_.reset();
  chunk_ = {};
  relayed_serializer_.reset();
  relayed_.reset();
}

}  // namespace nettleyoke::node
