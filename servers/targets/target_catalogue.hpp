#ifndef POMELOHINGE_SERVERS_TARGETS_TARGET_CATALOGUE_HPP
#define POMELOHINGE_SERVERS_TARGETS_TARGET_CATALOGUE_HPP

#include "core/clock.hpp"
#include "core/identifiers.hpp"
#include "core/name_table.hpp"
#include "core/text_map.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pomelohinge {

/// State that a target reports about itself.
enum class target_standing {
    serving,
    /// It shuts down and gets no new requests.
    draining,
};

template <>
inline constexpr auto
    name_table<target_standing> = make_name_table<target_standing>({
        {target_standing::serving, "serving"},
        {target_standing::draining, "draining"},
    });
static_assert(is_ordered<target_standing>());

/// One target as last read from the store.
struct target_record
{
    target_id id;
    /// Distinguishes restarts under the same id; increases with each start.
    std::uint64_t incarnation = 0;
    service_id service;
    /// Version of the service that it runs; empty if it does not say.
    std::string version;
    data_centre_id data_centre;
    /// `IP:PORT`.
    std::string address;
    /// Maximum number of concurrent requests at the target.
    std::int64_t slots = 1;
    target_standing standing = target_standing::serving;
    /// Until then the target is cold and gets its load gradually (slow start).
    time_point cold_until{};
    /// Store revision at which the record was written.
    std::uint64_t revision = 0;

    friend bool operator==(
        target_record const&, target_record const&) = default;
};

/// Immutable index of all targets at one store revision.
class target_catalogue
{
public:
    target_catalogue() = default;
    target_catalogue(
        std::vector<target_record> records, std::uint64_t revision);

    std::uint64_t revision() const { return revision_; }
    std::vector<target_record> const& records() const { return records_; }

    /// The target with that id, or null.
    target_record const* find(std::string_view id) const;

    /// Positions in `records()` of the targets of `service`.
    std::vector<std::size_t> const& of_service(std::string_view service) const;

private:
    std::vector<target_record> records_;
    std::uint64_t revision_ = 0;
    text_map<std::size_t> by_id_;
    text_map<std::vector<std::size_t>> by_service_;
};

} // namespace pomelohinge

#endif
