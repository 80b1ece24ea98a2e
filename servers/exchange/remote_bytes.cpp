#include "servers/exchange/remote_bytes.hpp"

#include <atomic>

namespace pomelohinge {
namespace {

std::array<std::atomic<std::uint64_t>, enum_count<exchange_part>> sent_bytes{};

} // namespace

void count_remote_bytes(exchange_bytes const& sent)
{
    for (std::size_t it = 0; it < sent.size(); ++it)
        sent_bytes[it].fetch_add(sent[it], std::memory_order_relaxed);
}

std::uint64_t remote_bytes(exchange_part part)
{
    return sent_bytes[index_of(part)].load(std::memory_order_relaxed);
}

} // namespace pomelohinge
