#include "downstream/downstream_server.h"

#include <chrono>
#include <utility>

namespace nettleyoke::node {

namespace {

/// How long after a reload clients may still name the classes before it.
constexpr std::chrono::seconds kPreviousClassesAccepted{2};

}  // namespace

DownstreamServer::DownstreamServer(boost::asio::io_context& io, const Limits& limits, RequestCatalog catalog,
                                   MemoryBudget& budget, Dispatcher& dispatcher, Metrics& metrics)
    : context_{io,
               budget,
               dispatcher,
               metrics,
               admission_,
               shutdown_,
               {std::move(catalog), limits.busy_retry_after}},
      admission_({limits.connections, limits.overflow}, context_),
      shutdown_(io, admission_, dispatcher) {}

void DownstreamServer::replace_catalog(RequestCatalog catalog, double busy_retry_after) {
  context_.rules = {std::move(catalog), busy_retry_after, Clock::Steady::now() + kPreviousClassesAccepted};
}

}  // namespace nettleyoke::node
