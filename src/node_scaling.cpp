#include "node_step.h"

namespace jacinthvale::node {

void onUpstreamsOrdered(step &s, const upstream_order &order, const call_ended &ended)
{
    s.log("upstreams-ordered", order.service.value + " in " + order.zone.value,
          std::to_string(order.count) + " wanted, status " + std::to_string(ended.status));
}

} // namespace jacinthvale::node
