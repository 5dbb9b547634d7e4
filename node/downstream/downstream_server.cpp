#include "downstream/downstream_server.h"

#include <chrono>
#include <utility>

namespace nettleyoke::node {

namespace {

/// Time after a reload during which clients may still name the previous classes.
constexpr std::chrono::seconds kPreviousClassesPeriod{2};

}  // namespace

DownstreamServer::DownstreamServer(boost::asio::io_context& io, const Limits& limits, RequestCatalog catalog,
                                   MemoryBudget& budget, Dispatcher& dispatcher, Metrics& metrics)
    : context_{io,
               budget,
               dispatcher,
               metrics,
               admission_,
               shutdown_,
               {std::move(catalog), limits.overload_retry_after}},
      admission_({limits.connections, limits.rejected_connections}, context_),
      shutdown_(io, admission_, dispatcher) {}

void DownstreamServer::replace_catalog(RequestCatalog catalog, double overload_retry_after) {
  context_.rules = {std::move(catalog), overload_retry_after, Clock::Steady::now() + kPreviousClassesPeriod};
}

}  // namespace nettleyoke::node
