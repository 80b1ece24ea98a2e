#ifndef POMELOHINGE_MAIN_FLEET_PLATFORM_HPP
#define POMELOHINGE_MAIN_FLEET_PLATFORM_HPP

#include "config/settings.hpp"
#include "drivers/front/front_dialect.hpp"
#include "drivers/http/curl_loop.hpp"
#include "drivers/upstream/upstream_dialect.hpp"
#include "servers/control/store_results.hpp"

#include <concepts>
#include <optional>

namespace pomelohinge {

/// A store for the idempotency records of a traffic thread.
template <class Records>
concept RecordStore = requires(
    Records& records, idempotency_record const& record)
{
    records.create(
        record, std::function<void(record_outcome, idempotency_record)>());
    records.write(record);
    records.remove(record);
    {
        records.era()
        } -> std::same_as<std::uint64_t>;
};

/// The parts that differ between the environments in which the fleet runs:
/// the HTTP dialects of callers and upstreams, the format of the
/// configuration, and the stores of configuration, targets, VMs and
/// idempotency records.
template <class Platform>
concept FleetPlatform = FrontDialect<typename Platform::front_dialect> &&
    UpstreamDialect<typename Platform::upstream_dialect> &&
    FleetStore<typename Platform::store> &&
    RecordStore<typename Platform::records> &&
    std::constructible_from<typename Platform::store, curl_loop&,
        std::string> && std::constructible_from<typename Platform::records,
        curl_loop&, std::string> &&
    requires(std::string_view text, findings& found)
{
    {
        Platform::decode_configuration(text, found)
        } -> std::same_as<std::optional<configuration>>;
};

} // namespace pomelohinge

#endif
