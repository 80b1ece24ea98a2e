#ifndef POMELOHINGE_TESTS_SIMULATION_REFEREE_HPP
#define POMELOHINGE_TESTS_SIMULATION_REFEREE_HPP

#include "config/configuration.hpp"
#include "core/clock.hpp"
#include "servers/peers/messages.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace pomelohinge::simulation {

/// Sees what all VMs do together and collects what must never be.
class referee
{
public:
    /// By when an accepted change holds for every act.
    static constexpr duration in_force_bound = std::chrono::seconds(5);

    /// Sets the rate that an organisation's tokens are held to.
    void set_rate(std::string const& organisation, rate_object const& rate)
    {
        auto& it = buckets_[organisation];
        it.rate = rate;
        it.level = static_cast<double>(rate.burst);
    }

    void token_given(
        std::string const& organisation, std::string const& vm, time_point now)
    {
        auto& it = buckets_.at(organisation);
        if (it.at != time_point{})
            it.level = std::min(static_cast<double>(it.rate.burst),
                it.level +
                    to_seconds(now - it.at) * it.rate.requests_per_second);
        it.at = now;
        it.level -= 1;
        ++it.given;
        constexpr double rounding = 1e-6;
        it.givers[vm] = now;
        if (it.level >= -rounding)
            return;
        std::string text = organisation + " got more than its rate; givers:";
        for (auto const& [name, at] : it.givers)
            if (now - at < std::chrono::seconds(2))
                text += " " + name;
        blame(std::move(text), now);
    }

    void data_centre_out(std::string const& name, time_point now)
    {
        out_since_[name] = now;
    }
    void data_centre_back(std::string const& name) { out_since_.erase(name); }

    void key_withdrawn(key_hash const& key, time_point now)
    {
        withdrawn_[key] = now;
    }
    void key_given(key_hash const& key) { withdrawn_.erase(key); }

    /// A VM sends a request to an upstream.
    void work_begins(target_object const& target, dispatch_order const& order,
        time_point now)
    {
        auto const out = out_since_.find(target.data_centre.text());
        if (out != out_since_.end() && now - out->second > in_force_bound)
            blame("work for data centre " + out->first + ", which is out", now);
        if (!order.key)
            return;
        auto const gone = withdrawn_.find(*order.key);
        if (gone != withdrawn_.end() && now - gone->second > in_force_bound)
            blame("work for a withdrawn key", now);
    }

    void blame(std::string what, time_point now)
    {
        constexpr std::size_t most_kept = 20;
        if (blamed_.size() < most_kept)
            blamed_.push_back(
                std::to_string(to_seconds(now.time_since_epoch()) - 3600) +
                " s: " + std::move(what));
    }

    std::vector<std::string> const& blamed() const { return blamed_; }

    std::uint64_t given(std::string const& organisation) const
    {
        return buckets_.at(organisation).given;
    }

private:
    struct reference_bucket
    {
        rate_object rate;
        double level = 0;
        time_point at;
        std::uint64_t given = 0;
        /// When each VM gave its last token.
        std::map<std::string, time_point> givers;
    };

    std::map<std::string, reference_bucket> buckets_;
    std::map<std::string, time_point> out_since_;
    std::map<key_hash, time_point> withdrawn_;
    std::vector<std::string> blamed_;
};

} // namespace pomelohinge::simulation

#endif
