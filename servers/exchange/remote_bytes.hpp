#ifndef POMELOHINGE_SERVERS_EXCHANGE_REMOTE_BYTES_HPP
#define POMELOHINGE_SERVERS_EXCHANGE_REMOTE_BYTES_HPP

#include "core/name_table.hpp"

#include <array>
#include <cstdint>

/// Counts of what this VM has sent to hubs of other data centres.
namespace pomelohinge {

/// A part of the messages between hubs.
enum class exchange_part {
    /// The sender, versions and positions, and what has no part of its own.
    header,
    /// Requests in flight at targets, and observations of them.
    target_reports,
    /// Demand and grants of organisations.
    organisations,
    /// Load and capacity of services, for transfers.
    service_loads,
    members,
    target_list,
    configuration,
};

template <>
inline constexpr auto
    name_table<exchange_part> = make_name_table<exchange_part>({
        {exchange_part::header, "header"},
        {exchange_part::target_reports, "target_reports"},
        {exchange_part::organisations, "organisations"},
        {exchange_part::service_loads, "service_loads"},
        {exchange_part::members, "members"},
        {exchange_part::target_list, "target_list"},
        {exchange_part::configuration, "configuration"},
    });
static_assert(is_ordered<exchange_part>());

/// Bytes by part of the messages.
using exchange_bytes = std::array<std::uint64_t, enum_count<exchange_part>>;

/// Adds the bytes of a message that was sent. Thread-safe.
void count_remote_bytes(exchange_bytes const& sent);

/// Bytes sent since the start. Thread-safe.
std::uint64_t remote_bytes(exchange_part part);

} // namespace pomelohinge

#endif
