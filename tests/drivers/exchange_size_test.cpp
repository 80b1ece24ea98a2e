#include "drivers/peers/codec.hpp"
#include "drivers/peers/message_sizes.hpp"
#include "servers/control/member_list_position.hpp"
#include "servers/control/sync_server.hpp"
#include "servers/limits/organisation_limits.hpp"

#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <numeric>
#include <random>

namespace pomelohinge {
namespace {

using namespace std::chrono_literals;

/// The size of a deployment, and its load.
struct deployment
{
    std::size_t data_centres;
    std::size_t vms;
    std::size_t targets;
    std::size_t organisations;
    double requests_per_second;
};

/// docs/design/hard-load.md, "Deployments".
constexpr deployment roaming{3, 154, 183, 74, 765};
constexpr deployment design_size{13, 1200, 18000, 89000, 120000};

constexpr auto service_time = 200ms;
constexpr auto report_period = 200ms;
constexpr auto exchange_period = 250ms;
constexpr auto step = 50ms;
/// A target or the choice of entries changes this often.
constexpr auto change_period = 5s;
constexpr std::size_t entries_per_hub = 6;
/// Part of the requests that fail, so that the target has a fault to report.
constexpr double fault_rate = 0.05;
/// The largest organisation sends this multiple of the mean.
constexpr double largest_organisation = 8;

/// Budgets of one hub for all other data centres, in bytes per second.
constexpr double roaming_budget = 8000;
constexpr double design_budget = 400'000;

std::string name_of(char const* kind, std::size_t n)
{
    return fmt::format("{}-{:05}", kind, n);
}

/// One data centre: its hub, and entries with the requests of their callers.
class modelled_hub
{
public:
    modelled_hub(deployment const& size, std::size_t number)
        : size_(size), self_(make_vm(number * vms_per_centre())),
          members_(self_), server_(self_, state_, members_), random_(number + 1)
    {
        server_.expect_other_data_centres(size.data_centres - 1);
        for (std::size_t n = 0; n < size.vms; ++n)
            listed_.push_back(make_vm(n));
        targets_.resize(size.targets / size.data_centres);
    }

    vm_record const& self() const { return self_; }
    sync_server& server() { return server_; }
    fleet_state& state() { return state_; }

    sync_question make_question() const
    {
        sync_question it;
        it.from = self_;
        it.relation = sync_relation::hub;
        it.configuration_version = 1;
        it.targets = state_.targets().position();
        it.liveness_timeout = 1500ms;
        return it;
    }

    /// Sends the requests that arrive within one step.
    void run_requests(time_point now)
    {
        std::poisson_distribution<int> arrivals(size_.requests_per_second /
            static_cast<double>(size_.data_centres) * to_seconds(step));
        std::uniform_int_distribution<std::size_t> target(
            0, targets_.size() - 1);
        std::uniform_int_distribution<std::size_t> entry(
            0, entries_per_hub - 1);
        for (auto n = arrivals(random_); n > 0; --n) {
            auto const at = target(random_);
            auto const by = entry(random_);
            entries_[by].limits.charge(random_organisation(), rate(), now);
            ++entries_[by].in_flight[at];
            running_.push_back({now + service_time, at, by});
        }
        while (!running_.empty() && running_.front().ends_at <= now) {
            end(running_.front());
            running_.pop_front();
        }
    }

    /// Passes the reports of the entries to the hub.
    void report(time_point now)
    {
        for (std::size_t n = 0; n < entries_per_hub; ++n) {
            auto& it = entries_[n];
            auto question = make_question();
            question.relation = sync_relation::member;
            question.from = listed_[own_vm(n + 1)];
            question.report.organisations = it.limits.make_report(now);
            question.report.entries = 1;
            for (auto const& [at, counts] : it.outcomes)
                question.report.targets[target_name(at)] = counts;
            for (auto const& [at, count] : it.in_flight)
                if (count > 0)
                    question.report.targets[target_name(at)].in_flight = count;
            it.outcomes.clear();
            server_.answer(question, now, [&](sync_reply const& reply) {
                it.limits.apply_report(reply.others, now);
            });
        }
        server_.expire(now);
    }

    /// Lets the members register and the first hub list the targets.
    void start(time_point now, double budget)
    {
        server_.set_remote_budget(budget);
        members_.add_listed(listed_, now);
        for (auto const& it : listed_)
            if (it.data_centre == self_.data_centre)
                members_.update_from_vm(it, 0, 1h, now);
        target_changes list;
        list.revision = size_.targets;
        list.whole = true;
        for (std::size_t n = 0; n < size_.targets; ++n)
            list.put.push_back(make_target(n, n + 1));
        state_.apply_targets(std::move(list));
    }

    /// Changes the entries and, at the hub that reads the store, one target.
    void change(std::size_t round, bool reads_store)
    {
        members_.set_entries(
            self_.data_centre, {listed_[own_vm(1 + round % 5)].vm});
        if (!reads_store)
            return;
        target_changes changes;
        changes.revision = size_.targets + round + 1;
        changes.put.push_back(make_target(round, changes.revision));
        state_.apply_targets(std::move(changes));
    }

private:
    struct entry
    {
        organisation_limits limits;
        std::map<std::size_t, std::uint32_t> in_flight;
        std::map<std::size_t, target_report> outcomes;
    };

    struct running_request
    {
        time_point ends_at;
        std::size_t target;
        std::size_t entry;
    };

    std::size_t vms_per_centre() const
    {
        return size_.vms / size_.data_centres;
    }
    std::size_t own_vm(std::size_t n) const
    {
        return own_number() * vms_per_centre() + n;
    }
    std::size_t own_number() const
    {
        return std::stoul(self_.data_centre.text().substr(3));
    }
    std::string target_name(std::size_t at) const
    {
        return name_of("tariff", at * size_.data_centres + own_number());
    }

    vm_record make_vm(std::size_t n) const
    {
        vm_record it;
        it.vm = vm_id(name_of("vm", n));
        auto const centre =
            std::min(n / vms_per_centre(), size_.data_centres - 1);
        it.data_centre = data_centre_id(name_of("dc", centre));
        it.peers_address = fmt::format("10.0.{}.{}:7000", n / 250, n % 250);
        it.callers_address = fmt::format("10.0.{}.{}:8080", n / 250, n % 250);
        it.incarnation = 0x1234567812345678u + n;
        it.standing = vm_standing::serving;
        it.cores = 0.25;
        it.link_mbps = 100;
        return it;
    }

    target_record make_target(std::size_t n, std::uint64_t revision) const
    {
        target_record it;
        it.id = target_id(name_of("tariff", n));
        it.service = service_id("charges");
        it.data_centre = data_centre_id(name_of("dc", n % size_.data_centres));
        it.address = fmt::format("10.1.{}.{}:8080", n / 250, n % 250);
        it.slots = 3;
        it.revision = revision;
        return it;
    }

    /// A few organisations send much more than the others.
    std::string random_organisation()
    {
        std::uniform_real_distribution<double> draw(0, 1);
        auto const skewed = std::pow(draw(random_), largest_organisation / 4);
        return name_of("customer",
            static_cast<std::size_t>(
                skewed * static_cast<double>(size_.organisations)));
    }

    /// Ten organisations reach about the limit at the size of `roaming`.
    rate_object rate() const
    {
        return {size_.requests_per_second * 3 /
                static_cast<double>(size_.organisations),
            10};
    }

    void end(running_request const& it)
    {
        std::bernoulli_distribution fails(fault_rate);
        auto& entry = entries_[it.entry];
        --entry.in_flight[it.target];
        auto& outcome = entry.outcomes[it.target];
        ++(fails(random_) ? outcome.faults : outcome.answers);
    }

    deployment size_;
    vm_record self_;
    fleet_state state_;
    member_table members_;
    sync_server server_;
    std::vector<vm_record> listed_;
    std::vector<std::size_t> targets_;
    std::array<entry, entries_per_hub> entries_;
    std::deque<running_request> running_;
    std::minstd_rand random_;
};

/// Two hubs that exchange reports in virtual time. The messages are encoded
/// and decoded, and their bytes counted by part.
class exchange_size_test : public testing::Test
{
protected:
    /// Returns the bytes per second that the two hubs send to each other, after
    /// the first exchanges.
    exchange_bytes run(
        deployment const& size, duration length, double budget = 0)
    {
        modelled_hub first(size, 0);
        modelled_hub second(size, 1);
        hubs_ = {&first, &second};
        auto const begin = clock_.now();
        for (auto* it : hubs_)
            it->start(begin, budget);
        auto const warm_up = 3s;
        for (duration at{}; at < warm_up + length; at += step) {
            if (at == warm_up)
                sent_ = {};
            advance(at);
        }
        for (auto& it : sent_)
            it = static_cast<std::uint64_t>(
                static_cast<double>(it) / to_seconds(length));
        return sent_;
    }

    void advance(duration at)
    {
        clock_.advance(step);
        for (auto* it : hubs_) {
            it->run_requests(clock_.now());
            if (at % report_period == duration::zero())
                it->report(clock_.now());
            if (at % change_period == duration::zero())
                it->change(static_cast<std::size_t>(at / change_period),
                    it == hubs_.front());
        }
        if (at % exchange_period != duration::zero())
            return;
        exchange(*hubs_[0], *hubs_[1]);
        exchange(*hubs_[1], *hubs_[0]);
    }

    /// Sends a question with the report of `asking` and uses the reply.
    void exchange(modelled_hub& asking, modelled_hub& asked)
    {
        auto const& data_centre = asked.self().data_centre;
        auto question = asking.make_question();
        auto& position = positions_[&asking];
        position.write_to(question);
        asking.server().write_remote_report(
            question, data_centre, asked.self().vm, clock_.now());
        auto const sent = to_wire(question);
        add(bytes_by_part(sent));
        asked.server().answer(
            from_wire(sent), clock_.now(), [&](sync_reply const& answer) {
                auto message = to_wire(answer, clock_.now());
                add(bytes_by_part(message));
                auto reply = from_wire(std::move(message), clock_.now());
                if (reply.members)
                    position.advance(reply);
                EXPECT_FALSE(asking.server().record_remote_reply(
                    data_centre, reply, clock_.now()));
                if (reply.targets)
                    asking.state().apply_targets(std::move(*reply.targets));
            });
    }

    void add(exchange_bytes const& bytes)
    {
        for (std::size_t it = 0; it < bytes.size(); ++it)
            sent_[it] += bytes[it];
    }

    static std::uint64_t total(exchange_bytes const& bytes)
    {
        return std::accumulate(bytes.begin(), bytes.end(), std::uint64_t{});
    }

    static void print(std::string_view name, exchange_bytes const& bytes)
    {
        fmt::print("{}: {} bytes/s between two hubs:", name, total(bytes));
        for (auto const& it : name_table<exchange_part>)
            fmt::print(" {} {}", it.name, bytes[index_of(it.value)]);
        fmt::print("\n");
    }

    manual_clock clock_;
    std::vector<modelled_hub*> hubs_;
    std::map<modelled_hub*, member_list_position> positions_;
    exchange_bytes sent_{};
};

/// Whole reports of the roaming deployment were most of its bytes between data
/// centres: 12 MB in 30 s. Also guards against parts of a message that no part
/// of the count covers.
TEST_F(exchange_size_test, changes_take_a_tenth_of_whole_reports)
{
    auto const whole = run(roaming, 10s);
    print("roaming, whole reports", whole);
    for (auto const it : {exchange_part::header, exchange_part::target_reports,
             exchange_part::organisations, exchange_part::members,
             exchange_part::target_list})
        EXPECT_GT(whole[index_of(it)], 0u) << to_name(it);
    auto const changes = run(roaming, 10s, roaming_budget);
    print("roaming, changes", changes);
    EXPECT_LT(total(changes), total(whole) / 10);
}

/// A whole report has each organisation with requests.
TEST_F(exchange_size_test, changes_at_the_design_size_take_less_than_reports)
{
    auto const whole = run(design_size, 2s);
    print("design size, whole reports", whole);
    auto const changes = run(design_size, 2s, design_budget);
    print("design size, changes", changes);
    EXPECT_LT(total(changes), total(whole) / 4);
}

} // namespace
} // namespace pomelohinge
