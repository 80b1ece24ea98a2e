#ifndef POMELOHINGE_SERVERS_SELECTION_TARGET_TABLE_HPP
#define POMELOHINGE_SERVERS_SELECTION_TARGET_TABLE_HPP

#include "config/configuration.hpp"
#include "core/clock.hpp"
#include "core/identifiers.hpp"

#include <absl/container/flat_hash_map.h>
#include <string>
#include <vector>

namespace pomelohinge {

/// A target that may get work.
struct usable_target
{
    target_id id;
    target_object object;
};

/// The usable targets of each service: neither leaving nor in a data centre
/// that is out. Built from one configuration and immutable.
class target_table
{
public:
    explicit target_table(configuration const& from);

    /// The usable targets of `service`; empty if it has none.
    std::vector<usable_target> const& of(service_id const& service) const;

    /// Whether `target` may get work.
    bool is_usable(target_id const& target) const;

private:
    absl::flat_hash_map<service_id, std::vector<usable_target>> targets_;
    absl::flat_hash_map<target_id, bool> usable_;
};

/// Whether `object` may get work under `from`.
bool is_usable(configuration const& from, target_object const& object);

/// What an entry VM has heard of targets lately; lives on a traffic thread.
class target_hints
{
public:
    /// Notes the load that an answer carried.
    void heard(target_id const& target, double load, time_point now);

    /// Notes that `target` takes no work, or that its owner is not reached.
    void closed(target_id const& target, time_point now);

    /// The load to assume, which fades while nothing is heard.
    double load(target_id const& target, time_point now) const;

    /// Whether `target` was closed lately.
    bool is_closed(target_id const& target, time_point now) const;

private:
    struct hint
    {
        double load = 0;
        time_point heard_at{};
        time_point closed_until{};
    };

    absl::flat_hash_map<target_id, hint> hints_;
};

} // namespace pomelohinge

#endif
