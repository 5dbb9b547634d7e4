#include "upstream/upstream_client.h"

#include <utility>

#include "upstream/server_pool.h"
#include "upstream/upstream_attempt.h"

namespace nettleyoke::node {

UpstreamClient::UpstreamClient(boost::asio::io_context& io, const UpstreamLimits& limits,
                               MemoryBudget& budget, Metrics& metrics)
    : context_(std::make_shared<UpstreamContext>(
          UpstreamContext{io, budget, metrics, limits, 0, false, [this] { return ensure_capacity(); }})) {}

UpstreamClient::~UpstreamClient() {
  context_->is_closed = true;
  for (auto& [name, pool] : pools_) pool->close();
}

void UpstreamClient::set_timeouts(double connect_timeout, double server_idle_timeout) {
  context_->limits.connect_timeout = connect_timeout;
  context_->limits.server_idle_timeout = server_idle_timeout;
}

void UpstreamClient::update_server(const std::string& server, const boost::asio::ip::tcp::endpoint& endpoint,
                                   double started, bool usable) {
  std::shared_ptr<ServerPool>& pool = pools_[server];
  if (!pool) pool = std::make_shared<ServerPool>(context_);
  pool->update(endpoint, started, usable);
}

// What is still in flight on the pool's connections keeps it alive; a server that is listed anew gets a pool
// of its own. The decision library is notified of failed attempts after it has heard that the server is gone.
void UpstreamClient::remove_server(const std::string& server) {
  const auto entry = pools_.find(server);
  if (entry == pools_.end()) return;
  const std::shared_ptr<ServerPool> pool = std::move(entry->second);
  pools_.erase(entry);
  pool->retire();
}

AttemptHandle UpstreamClient::start_attempt(const std::string& server,
                                            const std::shared_ptr<const OutgoingRequest>& request,
                                            const AttemptTimes& times, AttemptCallbacks callbacks) {
  const auto attempt = std::make_shared<UpstreamAttempt>(context_, std::move(callbacks));
  const auto entry = pools_.find(server);
  if (entry == pools_.end() || !(times.timeout > 0) || !request->is_sendable()) {
    attempt->end_later(Outcome::kNotSent);
  } else {
    attempt->assign(entry->second, request, times);
  }
  return attempt;
}

void UpstreamClient::cancel(const AttemptHandle& handle) {
  const std::shared_ptr<UpstreamAttempt> attempt = handle.lock();
  if (attempt && !attempt->has_ended()) attempt->end_later(Outcome::kCancelled);
}

void UpstreamClient::withdraw_unsent(const AttemptHandle& handle) {
  const std::shared_ptr<UpstreamAttempt> attempt = handle.lock();
  if (attempt && !attempt->is_sent()) attempt->end_later(Outcome::kCancelled);
}

// Closes the connection that has been idle the longest when there may be no more.
bool UpstreamClient::ensure_capacity() {
  if (context_->connections < context_->limits.max_connections) return true;
  ServerPool* oldest = nullptr;
  for (auto& [name, pool] : pools_) {
    if (!pool->has_idle()) continue;
    if (oldest == nullptr || pool->first_idle_expiry() < oldest->first_idle_expiry()) oldest = pool.get();
  }
  if (oldest == nullptr) return false;
  oldest->drop_longest_idle();
  return true;
}

}  // namespace nettleyoke::node
