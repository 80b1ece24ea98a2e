#include "servers/membership/hub_order.hpp"
#include "tests/servers/test_charts.hpp"
#include "tests/simulation/fake_vm.hpp"

#include <algorithm>
#include <gtest/gtest.h>

namespace pomelohinge::simulation {
namespace {

using namespace std::chrono_literals;

constexpr std::array<char const*, 3> data_centres{"east", "north", "west"};
constexpr std::size_t vms_per_data_centre = 4;
constexpr std::size_t targets_per_version = 15;
constexpr double requests_per_second = 90;
constexpr duration finish_by = 40s;
/// In each spell of this length three in ten targets fail most requests.
constexpr duration spell = 5s;
constexpr double failing_share = 0.3;
constexpr double error_probability = 0.005;

/// A whole fleet that rolls out a version, from the order in the store to the
/// end of the targets that are no longer needed.
class rollout_run_test : public testing::TestWithParam<std::uint64_t>
{
protected:
    rollout_run_test()
        : charts_(load_all_charts()), simulator_(GetParam()),
          store_(simulator_),
          checker_(invariant_bounds{}), context_{simulator_, store_, checker_,
                                            charts_, {}, {}, {}}
    {
        constexpr double floor = 0.7;
        context_.bounds.floor = floor;
        context_.rollouts = rollout_setup{rollout_bounds{}, charts_.rollout};
        configure();
        for (std::size_t it = 0; it < targets_per_version; ++it)
            add_target("old-" + std::to_string(it), "v1");
        for (auto const* it : data_centres)
            for (std::size_t n = 0; n < vms_per_data_centre; ++n)
                add_vm(it, std::string(it) + "-" + std::to_string(n));
        run_for(5s);
        send_requests();
        run_for(5s);
    }

    void configure()
    {
        std::vector<configuration_change> changes;
        auto const put = [&](object_kind kind, std::string name, auto object) {
            changes.push_back({kind, std::move(name), any_object(object)});
        };
        put(object_kind::service, "shop", service_object{});
        for (auto const* it : data_centres)
            put(object_kind::data_centre, it, data_centre_object{});
        route_object route;
        route.service = service_id("shop");
        route.host = "shop.example";
        route.access = route_access::open;
        route.deadline = 4000ms;
        route.goal = 1500ms;
        route.attempts = 3;
        route.path_prefix = "/look/";
        route.request_idempotency = idempotency_mode::idempotent;
        put(object_kind::route, "look", route);
        route.path_prefix = "/order/";
        route.request_idempotency = idempotency_mode::non_idempotent;
        put(object_kind::route, "order", route);
        store_.set_configuration(configuration().with(changes));
    }

    void add_target(std::string const& name, std::string const& version)
    {
        target_record record;
        record.id = target_id(name);
        record.incarnation = ++last_incarnation_;
        record.service = service_id("shop");
        record.version = version;
        record.data_centre =
            data_centre_id(data_centres[targets_.size() % data_centres.size()]);
        record.address = name;
        record.slots = 6;
        auto& it = *targets_.emplace_back(
            std::make_unique<fake_target>(simulator_, checker_, record, 0));
        it.set_run_time(100ms, 400ms);
        it.set_error_probability(
            version == "v1" ? error_probability : new_errors_);
        if (version != "v1")
            it.set_run_time(new_run_time_, new_run_time_ * 4);
        context_.targets[record.address] = &it;
        store_.put_target(record);
        auto* const target = &it;
        simulator_.schedule_after(simulator_.draw_between(0s, spell),
            [this, target] { change_mode(*target); });
    }

    void change_mode(fake_target& target)
    {
        if (target.mode() == target_mode::down)
            return;
        target.set_mode(simulator_.chance(failing_share)
                ? target_mode::failing
                : target_mode::healthy);
        simulator_.schedule_after(
            spell, [this, &target] { change_mode(target); });
    }

    void add_vm(std::string const& data_centre, std::string const& name)
    {
        vm_record record;
        record.vm = vm_id(name);
        record.data_centre = data_centre_id(data_centre);
        record.callers_address = name + ":80";
        record.peers_address = name + ":90";
        record.cores = 0.2;
        record.incarnation = simulator_.random()();
        members_.push_back({record, true, false, 0});
        vms_[name] = std::make_unique<fake_vm>(context_, record);
        vms_[name]->start();
    }

    void run_for(duration span)
    {
        simulator_.run_until(simulator_.now() + span);
    }

    void send_requests()
    {
        auto const gap = from_seconds(std::exponential_distribution<double>(
            requests_per_second)(simulator_.random()));
        simulator_.schedule_after(gap, [this] {
            send_request();
            send_requests();
        });
    }

    void send_request()
    {
        bool const idempotent = simulator_.chance(0.4);
        incoming_request message;
        message.head.method = idempotent ? "GET" : "POST";
        message.head.host = "shop.example";
        message.head.target = idempotent ? "/look/x" : "/order/x";
        message.head.request_id = "r" + std::to_string(++last_request_);
        message.body = message.head.request_id;
        checker_.on_request_sent(
            message.head.request_id, "", "shop", idempotent, simulator_.now());
        auto it = vms_.begin();
        std::advance(
            it, static_cast<std::ptrdiff_t>(simulator_.draw(vms_.size())));
        it->second->handle_request(message, [](entry_result const&) {});
    }

    void order_rollout()
    {
        rollout_order order;
        order.name = "shop";
        order.service = service_id("shop");
        order.version = "v2";
        order.finish_by = finish_by;
        store_.order_rollout(order);
        ordered_at_ = simulator_.now();
        requests_at_order_ = last_request_;
        for (std::size_t it = 0; it < targets_per_version; ++it)
            simulator_.schedule_after(500ms * static_cast<std::int64_t>(it),
                [this, it] { add_target("new-" + std::to_string(it), "v2"); });
        follow_status();
    }

    /// Stops the old targets when the rollout has succeeded, as the platform
    /// does.
    void follow_status()
    {
        auto const now = status();
        if (now == rollout_status::succeeded) {
            ended_after_ = simulator_.now() - ordered_at_;
            for (auto const& it : targets_)
                if (it->record().version == "v1")
                    stop_old(*it);
            return;
        }
        if (now == rollout_status::rolled_back) {
            ended_after_ = simulator_.now() - ordered_at_;
            return;
        }
        simulator_.schedule_after(20ms, [this] { follow_status(); });
    }

    void stop_old(fake_target& target)
    {
        lost_ += target.running();
        target.shut_down();
        store_.remove_target(target.record().id);
    }

    rollout_status status() const
    {
        return store_.rollouts().at("shop").status;
    }

    std::uint64_t received(std::string const& version) const
    {
        std::uint64_t sum = 0;
        for (auto const& it : targets_)
            if (it->record().version == version)
                sum += it->received();
        return sum;
    }

    void run_to_the_end() { run_for(finish_by + 5s - passed()); }

    duration passed() const { return simulator_.now() - ordered_at_; }

    void expect_bounded_exposure()
    {
        auto const requests =
            static_cast<double>(last_request_ - requests_at_order_);
        EXPECT_LE(static_cast<double>(received("v2")), 0.1 * requests + 50);
    }

    void expect_success()
    {
        EXPECT_EQ(status(), rollout_status::succeeded);
        EXPECT_LE(ended_after_, finish_by);
    }

    void expect_rollback()
    {
        EXPECT_EQ(status(), rollout_status::rolled_back);
        EXPECT_LE(ended_after_, finish_by);
        expect_bounded_exposure();
        auto const before = received("v2");
        run_for(2s);
        EXPECT_EQ(received("v2"), before);
    }

    /// The VM that decides: the first hub of the first data centre.
    std::string decider() const
    {
        return hub_order(members_, data_centre_id("east"))[0]->record.vm.text();
    }

    chart_list charts_;
    event_simulator simulator_;
    fake_store store_;
    invariant_checker checker_;
    fleet_context context_;
    fleet_members members_;
    std::map<std::string, std::unique_ptr<fake_vm>> vms_;
    std::vector<std::unique_ptr<fake_target>> targets_;
    double new_errors_ = error_probability;
    duration new_run_time_ = 100ms;
    std::uint64_t last_incarnation_ = 0;
    std::uint64_t last_request_ = 0;
    std::uint64_t requests_at_order_ = 0;
    time_point ordered_at_{};
    duration ended_after_{};
    std::int64_t lost_ = 0;
};

TEST_P(rollout_run_test, good_version_is_put_into_force_without_lost_requests)
{
    order_rollout();
    run_to_the_end();
    expect_success();
    EXPECT_EQ(lost_, 0);
    auto const before = received("v1");
    run_for(2s);
    EXPECT_EQ(received("v1"), before);
}

TEST_P(rollout_run_test, bad_version_is_rolled_back)
{
    new_errors_ = 0.5;
    order_rollout();
    run_to_the_end();
    expect_rollback();
}

TEST_P(rollout_run_test, slow_version_is_rolled_back)
{
    new_run_time_ = 400ms;
    order_rollout();
    run_to_the_end();
    expect_rollback();
}

TEST_P(rollout_run_test, version_that_turns_bad_late_is_rolled_back)
{
    order_rollout();
    run_for(20s);
    for (auto const& it : targets_)
        if (it->record().version == "v2")
            it->set_error_probability(0.6);
    run_to_the_end();
    expect_rollback();
}

TEST_P(rollout_run_test, good_version_succeeds_although_the_deciding_vm_dies)
{
    order_rollout();
    run_for(15s);
    vms_.erase(decider());
    run_to_the_end();
    expect_success();
}

TEST_P(rollout_run_test, bad_version_is_rolled_back_although_the_decider_dies)
{
    new_errors_ = 0.3;
    order_rollout();
    run_for(4s);
    vms_.erase(decider());
    run_to_the_end();
    expect_rollback();
}

/// The version must not get requests because the store cannot be told.
TEST_P(rollout_run_test, bad_version_is_stopped_while_the_store_is_away)
{
    order_rollout();
    run_for(12s);
    EXPECT_EQ(status(), rollout_status::running);
    store_.set_unresponsive(true);
    for (auto const& it : targets_)
        if (it->record().version == "v2")
            it->set_error_probability(0.8);
    run_for(12s);
    auto const before = received("v2");
    run_for(5s);
    EXPECT_EQ(received("v2"), before);
    store_.set_unresponsive(false);
    run_to_the_end();
    expect_rollback();
}

/// Two hubs decide when their data centres do not hear from each other.
TEST_P(rollout_run_test, two_deciders_end_in_the_state_that_one_has_written)
{
    new_errors_ = 0.4;
    order_rollout();
    run_for(3s);
    for (auto const& [name, it] : vms_)
        for (auto const& [other, at] : vms_)
            if (name.starts_with("east") != other.starts_with("east"))
                simulator_.block_link(name, other);
    run_to_the_end();
    expect_rollback();
}

INSTANTIATE_TEST_SUITE_P(seeds, rollout_run_test, testing::Values(1, 2, 3, 4),
    [](auto const& info) { return std::to_string(info.param); });

} // namespace
} // namespace pomelohinge::simulation
