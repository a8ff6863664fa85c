#include "admission/basic_engine_scheduler.h"

#include "admission/basic_engine_scheduler_impl.h"

namespace comfreyspring::admission {

template class basic_engine_scheduler<shortest_expected_first,
                                      adapters::cost_aware_eviction>;
template class basic_engine_scheduler<shortest_expected_first,
                                      adapters::lru_eviction>;
template class basic_engine_scheduler<shortest_expected_first,
                                      adapters::lfu_eviction>;
template class basic_engine_scheduler<fifo_order,
                                      adapters::cost_aware_eviction>;
template class basic_engine_scheduler<fifo_order, adapters::lru_eviction>;
template class basic_engine_scheduler<fifo_order, adapters::lfu_eviction>;

}  // namespace comfreyspring::admission
