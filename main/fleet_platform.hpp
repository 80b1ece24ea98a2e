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

/// Keeps idempotency records for a traffic thread.
template <class Records>
concept RecordStore = requires(
    Records& records, idempotency_record const& record)
{
    records.create(
        record, std::function<void(record_outcome, idempotency_record)>());
    records.write(record);
    records.remove(record);
};

/// Everything that differs between the places where the fleet runs: how
/// callers and upstreams speak, and where configuration, targets and VMs are
/// listed.
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
