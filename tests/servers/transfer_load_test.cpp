#include "tests/servers/transfer_world.hpp"

#include <random>

namespace pomelohinge {
namespace {

/// Three data centres whose callers send to one service. The dispatchers and
/// the exchange of reports are those of the daemon.
class transfer_load_test : public testing::Test
{
protected:
    transfer_load_test() : charts_(load_all_charts()) {}

    /// Adds a data centre with targets that bear `capacity` requests a second.
    void add(std::string const& name, double capacity, load_function load)
    {
        auto const centre = data_centre_id(name);
        auto const n =
            std::lround(capacity * to_seconds(service_time) / slots_per_target);
        for (long it = 0; it < n; ++it) {
            target_record record;
            record.id = target_id(name + std::to_string(it));
            record.service = service_id("shop");
            record.data_centre = centre;
            record.address = "10.0.0.1:80";
            record.slots = slots_per_target;
            record.revision = 1;
            records_.push_back(std::move(record));
        }
        auto& added = centres_.emplace_back();
        added.name = centre;
        added.load = std::move(load);
        for (std::size_t it = 0; it < entries_per_centre; ++it)
            added.entries.push_back(std::make_unique<modelled_entry>(
                charts_.target, last_entry_++, centre, settings_));
    }

    void run(duration length)
    {
        adopt();
        auto const end = since_start_ + length;
        while (since_start_ < end) {
            clock_.advance(step);
            since_start_ += step;
            end_attempts();
            for (auto& it : centres_) {
                send_requests(it);
                if (since_start_ % report_period == duration::zero())
                    report(it);
            }
            if (since_start_ % exchange_period == duration::zero())
                exchange();
            for (auto& it : centres_)
                for (auto& entry : it.entries) {
                    entry->targets.tick(clock_.now());
                    entry->moved.tick(clock_.now());
                }
            record_share();
        }
    }

    /// Runs until the shares have settled, and then counts for `length`.
    void run_and_count(duration length)
    {
        run(8s);
        for (auto& it : centres_)
            it.counts.clear();
        shares_.clear();
        run(length);
    }

    caller_counts counts(std::size_t centre) const
    {
        caller_counts sum;
        for (auto const& [priority, it] : centres_[centre].counts) {
            sum.requests += it.requests;
            sum.in_time += it.in_time;
            sum.late += it.late;
            sum.refused += it.refused;
            sum.left += it.left;
        }
        return sum;
    }

    caller_counts total() const
    {
        caller_counts sum;
        for (std::size_t n = 0; n < centres_.size(); ++n) {
            auto const it = counts(n);
            sum.requests += it.requests;
            sum.in_time += it.in_time;
            sum.late += it.late;
            sum.refused += it.refused;
            sum.left += it.left;
        }
        return sum;
    }

    /// How much the share of the first data centre moved in all, and its
    /// highest value.
    double share_movement() const
    {
        double sum = 0;
        for (std::size_t n = 1; n < shares_.size(); ++n)
            sum += std::abs(shares_[n] - shares_[n - 1]);
        return sum;
    }

    void enable(double price_per_mb)
    {
        settings_ = transfer_settings{price_per_mb, 500ms};
    }

    std::optional<transfer_settings> settings_;
    std::vector<modelled_centre> centres_;
    bool have_failures_ = false;
    /// Data centres whose hubs hear nothing of others, and are not heard.
    std::set<std::size_t> cut_off_;

    /// Forgets the targets and requests of an earlier play.
    void reset()
    {
        records_.clear();
        running_.clear();
        occupied_.clear();
        shares_.clear();
        since_start_ = {};
    }

private:
    struct running_attempt
    {
        time_point ends_at;
        time_point began_at;
        time_point arrived_at;
        target_record target;
        std::size_t centre;
        modelled_entry* entry;
        std::int64_t priority;
    };

    void adopt()
    {
        auto next = std::make_shared<policy>();
        next->index = std::make_shared<configuration_index>(configuration(), 1);
        next->targets = std::make_shared<target_catalogue>(records_, 1);
        auto members = std::make_shared<fleet_members>();
        for (auto const& centre : centres_)
            for (auto const& it : centre.entries)
                members->push_back({{vm_id(it->name), centre.name, "", "", 1,
                                        vm_standing::serving, 1, 1000},
                    true, true, 0});
        next->members = members;
        next->ready = true;
        for (auto const& centre : centres_)
            for (auto const& it : centre.entries)
                it->targets.adopt(next, clock_.now());
    }

    std::size_t index_of_centre(modelled_centre const& it) const
    {
        return static_cast<std::size_t>(&it - centres_.data());
    }

    void send_requests(modelled_centre& centre)
    {
        std::poisson_distribution<int> arrivals(
            centre.load(since_start_) * to_seconds(step));
        std::bernoulli_distribution is_urgent(0.5);
        for (auto n = arrivals(random_); n > 0; --n)
            send_request(centre,
                *centre.entries[random_() % centre.entries.size()],
                is_urgent(random_) ? urgent : ordinary);
    }

    void send_request(
        modelled_centre& centre, modelled_entry& entry, std::int64_t priority)
    {
        auto const now = clock_.now();
        auto const at = index_of_centre(centre);
        ++centre.counts[priority].requests;
        entry.moved.record_arrival("shop", priority, now);
        placement_request request;
        request.service = service_id("shop");
        request.priority = priority;
        request.start_deadline = now + goal - service_time;
        request.bytes = request_bytes;
        auto decided = entry.targets.submit(
            request,
            [this, at, &entry, priority, now](
                placement_decision it) { begin(it, at, entry, priority, now); },
            now);
        if (auto* const it = std::get_if<placement_decision>(&decided))
            begin(*it, at, entry, priority, now);
    }

    void begin(placement_decision const& decision, std::size_t centre,
        modelled_entry& entry, std::int64_t priority, time_point arrived_at)
    {
        auto const now = clock_.now();
        auto& counts = centres_[centre].counts[priority];
        auto const* const placed = std::get_if<placement>(&decision);
        if (placed == nullptr) {
            ++counts.refused;
            entry.moved.record_refusal("shop", now);
            return;
        }
        counts.left += placed->reason.local ? 0 : 1;
        // A target with more requests than slots takes longer for each.
        auto& occupied = occupied_[placed->target.id.text()];
        ++occupied;
        auto const factor =
            std::max(1.0, occupied / static_cast<double>(slots_per_target));
        running_.push_back(
            {now + from_seconds(to_seconds(service_time) * factor), now,
                arrived_at, placed->target, centre, &entry, priority});
    }

    void end_attempts()
    {
        auto const now = clock_.now();
        auto const ended = std::partition(running_.begin(), running_.end(),
            [&](auto const& it) { return it.ends_at > now; });
        std::vector<running_attempt> const all(ended, running_.end());
        running_.erase(ended, running_.end());
        for (auto const& it : all) {
            --occupied_[it.target.id.text()];
            auto& counts = centres_[it.centre].counts[it.priority];
            bool const fails =
                is_failing(it.target) && random_() % 100 < failure_percent;
            if (!fails)
                ++(now - it.arrived_at <= goal ? counts.in_time : counts.late);
            it.entry->moved.record_answer("shop", "route", now - it.began_at,
                static_cast<std::size_t>(request_bytes), now);
            it.entry->targets.attempt_ended(it.target,
                fails ? attempt_result::server_error : attempt_result::answered,
                now - it.began_at, now);
            it.entry->targets.request_ended(
                service_id("shop"), !fails, target_state::trusted);
        }
    }

    /// Three in ten targets fail, others every few seconds.
    bool is_failing(target_record const& target) const
    {
        constexpr std::size_t parts = 10;
        auto const round = static_cast<std::size_t>(since_start_ / 6s);
        auto const part = std::hash<std::string>()(target.id.text()) % parts;
        return have_failures_ && (part + parts - round % parts) % parts < 3;
    }

    void report(modelled_centre& centre)
    {
        auto const now = clock_.now();
        for (auto& it : centre.entries) {
            traffic_report report;
            report.targets = it->targets.take_reports();
            report.loads = it->moved.loads(now);
            centre.reports.add_report(it->name, false, report, now);
        }
        centre.reports.expire(now);
        for (auto& it : centre.entries) {
            auto const others = centre.reports.report_for(it->name, false);
            it->targets.apply_report(others, now);
            it->moved.apply_loads(others.loads, now);
        }
    }

    void exchange()
    {
        for (std::size_t from = 0; from < centres_.size(); ++from)
            for (std::size_t to = 0; to < centres_.size(); ++to) {
                bool const is_cut =
                    cut_off_.contains(from) || cut_off_.contains(to);
                if (from == to || is_cut)
                    continue;
                centres_[to].reports.add_report(centres_[from].name.text(),
                    true,
                    centres_[from].reports.report_for(
                        centres_[to].name.text(), true),
                    clock_.now());
            }
    }

    void record_share()
    {
        double sum = 0;
        for (auto const& entry : centres_.front().entries)
            for (auto const& [key, share] : entry->moved.shares())
                sum += share;
        shares_.push_back(
            sum / static_cast<double>(centres_.front().entries.size()));
    }

    manual_clock clock_;
    duration since_start_{};
    chart_list charts_;
    std::vector<target_record> records_;
    std::size_t last_entry_ = 0;
    std::minstd_rand random_{11};
    std::vector<running_attempt> running_;
    std::map<std::string, double> occupied_;
    std::vector<double> shares_;
};

/// Without settings nothing changes: as many requests leave as do not fit.
TEST_F(transfer_load_test, without_settings_what_does_not_fit_leaves)
{
    add("east", 150, constant(220));
    add("north", 300, constant(60));
    add("west", 300, constant(60));
    run_and_count(20s);
    EXPECT_GT(counts(0).served(), 0.98);
    EXPECT_GT(counts(0).left / counts(0).requests, 0.25);
}

TEST_F(transfer_load_test, too_few_targets_here_are_served_elsewhere)
{
    enable(1);
    add("east", 150, constant(220));
    add("north", 300, constant(60));
    add("west", 300, constant(60));
    run_and_count(20s);
    EXPECT_GT(counts(0).served(), 0.93);
    EXPECT_GT(counts(0).left / counts(0).requests, 0.25);
    EXPECT_EQ(counts(1).left + counts(2).left, 0);
}

/// A burst that fits is not a reason to pay for a transfer.
TEST_F(transfer_load_test, load_that_fits_here_does_not_leave)
{
    enable(1);
    for (auto const* it : {"east", "north", "west"})
        add(it, 300, constant(200));
    run_and_count(20s);
    EXPECT_EQ(total().left, 0);
    EXPECT_GT(total().served(), 0.98);
}

TEST_F(transfer_load_test, nothing_leaves_when_all_are_short)
{
    enable(1);
    for (auto const* it : {"east", "north", "west"})
        add(it, 150, constant(200));
    run_and_count(20s);
    EXPECT_LT(total().left / total().requests, 0.005);
    for (auto const& centre : centres_)
        EXPECT_GT(centre.counts.at(urgent).served(), 0.9);
}

/// The targets of a closed data centre take no requests from one moment to the
/// next.
TEST_F(transfer_load_test, data_centre_without_targets_sends_at_once)
{
    enable(1);
    add("east", 0, constant(100));
    add("north", 300, constant(60));
    add("west", 300, constant(60));
    run(1s);
    EXPECT_GT(counts(0).in_time + 30, counts(0).requests);
    EXPECT_EQ(counts(0).refused, 0);
}

/// The request is worth 1 or 2, and its 6,000 bytes cost more.
TEST_F(transfer_load_test, nothing_leaves_at_a_price_above_all_values)
{
    enable(400);
    add("east", 150, constant(220));
    add("north", 300, constant(60));
    add("west", 300, constant(60));
    run_and_count(20s);
    EXPECT_EQ(total().left, 0);
}

TEST_F(transfer_load_test, only_the_more_valuable_leave_at_a_price_between)
{
    enable(220);
    // So few targets that most urgent requests are not served here.
    add("east", 15, constant(220));
    add("north", 300, constant(60));
    add("west", 300, constant(60));
    run_and_count(20s);
    EXPECT_GT(centres_[0].counts[urgent].left, 0);
    EXPECT_EQ(centres_[0].counts[ordinary].left, 0);
}

/// What callers get with and without the decision while the loads of three data
/// centres swing with a period of 13 s, one after the other.
class transfer_comparison_test : public transfer_load_test
{
protected:
    struct outcome_counts
    {
        caller_counts all;
        double urgent_served = 0;
        double urgent_requests = 0;
    };

    static load_function swinging(double mean, double phase)
    {
        return [mean, phase](duration at) {
            constexpr double period_s = 13;
            constexpr double pi = 3.14159265358979;
            return mean *
                (1 +
                    0.5 *
                        std::sin(2 * pi * (to_seconds(at) / period_s + phase)));
        };
    }

    /// `capacity` and the mean load of each data centre are in requests a
    /// second.
    outcome_counts play(
        std::optional<double> price, double capacity, double mean)
    {
        centres_.clear();
        reset();
        settings_.reset();
        if (price)
            enable(*price);
        add("east", capacity, swinging(mean, 0));
        add("north", capacity, swinging(mean, 1.0 / 3));
        add("west", capacity, swinging(mean, 2.0 / 3));
        run_and_count(39s);
        outcome_counts sum;
        sum.all = total();
        for (auto const& it : centres_) {
            sum.urgent_served += it.counts.at(urgent).in_time;
            sum.urgent_requests += it.counts.at(urgent).requests;
        }
        fmt::print("price {}: served {:.3f}, urgent {:.3f}, left {:.4f}\n",
            price ? fmt::format("{}", *price) : "none", sum.all.served(),
            sum.urgent_served / sum.urgent_requests,
            sum.all.left / sum.all.requests);
        return sum;
    }
};

/// Peaks of one data centre fit into the valleys of the others.
TEST_F(
    transfer_comparison_test, peaks_are_served_elsewhere_with_fewer_transfers)
{
    auto const off = play(std::nullopt, 220, 180);
    auto const on = play(1, 220, 180);
    EXPECT_GT(on.all.served(), off.all.served() - 0.05);
    EXPECT_LT(on.all.left, off.all.left);
}

/// Without the decision data centres that are short send to each other.
TEST_F(transfer_comparison_test, overload_of_all_moves_little_between_them)
{
    auto const off = play(std::nullopt, 150, 200);
    auto const on = play(1, 150, 200);
    EXPECT_GT(on.all.served(), off.all.served() - 0.05);
    EXPECT_LT(on.all.left, off.all.left / 2);
    EXPECT_GT(on.urgent_served / on.urgent_requests, 0.9);
}

/// Targets that fail while their health endpoint says otherwise take capacity
/// from each data centre in turn.
TEST_F(transfer_comparison_test, failing_targets_cost_no_more_with_transfers)
{
    have_failures_ = true;
    auto const off = play(std::nullopt, 300, 180);
    auto const on = play(1, 300, 180);
    EXPECT_GT(on.all.served(), off.all.served() - 0.03);
    EXPECT_LT(on.all.left, off.all.left);
}

TEST_F(transfer_comparison_test, high_price_keeps_requests_here)
{
    auto const low = play(1, 220, 180);
    auto const high = play(120, 220, 180);
    EXPECT_LT(high.all.left, low.all.left / 2);
    EXPECT_GT(high.urgent_served / high.urgent_requests, 0.95);
}

/// Guards against a data centre that becomes short by what others send.
TEST_F(transfer_load_test, callers_of_the_data_centre_that_helps_are_served)
{
    enable(1);
    add("east", 100, constant(400));
    add("north", 300, constant(200));
    add("west", 300, constant(200));
    run_and_count(20s);
    EXPECT_GT(counts(1).served(), 0.98);
    EXPECT_GT(counts(2).served(), 0.98);
    EXPECT_GT(counts(0).left, 0);
}

TEST_F(
    transfer_load_test, hubs_that_are_cut_off_stop_sending_within_two_seconds)
{
    enable(1);
    add("east", 150, constant(220));
    add("north", 300, constant(60));
    add("west", 300, constant(60));
    run_and_count(5s);
    ASSERT_GT(counts(0).left, 0);
    cut_off_ = {0, 1, 2};
    run(2s);
    auto const left = counts(0).left;
    run(5s);
    EXPECT_EQ(counts(0).left, left);
    cut_off_.clear();
    run(5s);
    EXPECT_GT(counts(0).left, left);
}

/// The share follows the load and does not swing by itself: over each period
/// it goes up and down once.
TEST_F(transfer_load_test, load_that_swings_moves_the_share_once_a_period)
{
    constexpr double period_s = 13;
    constexpr double pi = 3.14159265358979;
    auto const swings = [](duration at) {
        return 180 * (1 + 0.5 * std::sin(2 * pi * to_seconds(at) / period_s));
    };
    enable(1);
    add("east", 180, swings);
    add("north", 300, constant(100));
    add("west", 300, constant(100));
    run_and_count(52s);
    EXPECT_GT(counts(0).served(), 0.93);
    EXPECT_GT(counts(1).served(), 0.98);
    // The highest share is a bit above a third. Measurements of rates add
    // noise.
    EXPECT_LT(share_movement(), 4 * 2 * 0.6);
}

/// Two data centres that take turns must not send to each other at once.
TEST_F(transfer_load_test, loads_that_take_turns_are_served_without_ping_pong)
{
    constexpr double period_s = 13;
    constexpr double pi = 3.14159265358979;
    auto const wave = [](double sign) {
        return [sign](duration at) {
            return 180 *
                (1 + sign * 0.5 * std::sin(2 * pi * to_seconds(at) / period_s));
        };
    };
    enable(1);
    add("east", 220, wave(1));
    add("west", 220, wave(-1));
    run_and_count(52s);
    EXPECT_GT(total().served(), 0.93);
    EXPECT_LT(total().left / total().requests, 0.15);
}

} // namespace
} // namespace pomelohinge
