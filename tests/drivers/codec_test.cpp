#include "drivers/peers/codec.hpp"

#include "servers/control/sync_server.hpp"
#include "servers/exchange/report_receiver.hpp"
#include "servers/poison/poison_guard.hpp"

#include <cmath>
#include <gtest/gtest.h>
#include <limits>
#include <random>

namespace pomelohinge {
namespace {

/// Messages of another VM, decoded and handed to the parts that use them.
class codec_test : public testing::Test
{
protected:
    static constexpr std::size_t vm_count = 40;
    static constexpr int mutations = 5000;

    static vm_record vm(std::size_t n)
    {
        vm_record record;
        record.vm = vm_id("vm-" + std::to_string(n));
        record.data_centre = data_centre_id("east");
        record.peers_address = "10.0.0.1:7000";
        record.callers_address = "10.0.0.1:80";
        record.incarnation = n;
        record.standing = vm_standing::serving;
        record.cores = 1.5;
        record.link_mbps = 500;
        return record;
    }

    static service_loads loads()
    {
        service_load it;
        it.arrivals = {{1, 2.5}, {2, 8}};
        it.completions = 10;
        it.busy = 2.25;
        it.queued = 3;
        it.refused = 0.5;
        it.slots = 12;
        it.occupied = 6;
        it.reporters = 2;
        it.age = std::chrono::milliseconds(40);
        return {{{"shop", "east"}, it}};
    }

    static traffic_report report()
    {
        traffic_report it;
        it.targets["i-1"] = target_report{1, 2, 3, 4};
        it.organisations["o-1"].demand = 2.5;
        it.suspects.push_back({17, 2, std::chrono::milliseconds(30)});
        it.rollouts[{"s1", "r1", "i-1"}] = {5, 2, 1, {}};
        it.loads = loads();
        it.load = 12;
        it.rollouts[{"s1", "r1", "i-1"}] = {5, 2, 1, {}};
        auto& old_answers = it.rollouts[{"s1", "r1", ""}];
        old_answers.good = 1;
        old_answers.latencies.add(std::chrono::milliseconds(40));
        return it;
    }

    static rollout_decisions decisions(time_point now)
    {
        rollout_decision item;
        item.service = service_id("s1");
        item.version = "v2";
        item.state = rollout_state::canary;
        item.share = 0.05;
        item.canaries = {target_id("i-1")};
        item.slow_limits["r1"] = std::chrono::milliseconds(250);
        item.started_at = now - std::chrono::seconds(9);
        return {{7, 8, 9}, now - std::chrono::milliseconds(300), {item}};
    }

    static report_changes changes()
    {
        report_changes it;
        it.position = {5, 9};
        it.base = 8;
        it.target_names = {{1, "i-1"}};
        it.organisation_names = {{1, "o-1"}};
        it.targets = {{1, {1, 2, 3, 4}}};
        organisation_report organisation;
        organisation.demand = 2.5;
        organisation.granted = 7;
        organisation.grants.within_steps = {1, 2, 3, 4};
        organisation.grants.within_window = 7;
        it.organisations = {{1, organisation}};
        it.suspects.push_back({17, 2, std::chrono::milliseconds(30)});
        it.loads = loads();
        it.load = 12;
        it.entries = 3;
        it.partial = true;
        return it;
    }

    static sync_question question()
    {
        sync_question it;
        it.from = vm(1);
        it.configuration_version = 7;
        it.long_poll_timeout = std::chrono::milliseconds(900);
        it.liveness_timeout = std::chrono::milliseconds(2500);
        it.rollouts = {7, 8, 9};
        it.report = report();
        it.changes = changes();
        return it;
    }

    sync_reply reply() const
    {
        sync_reply it;
        it.members.emplace();
        for (std::size_t n = 0; n < vm_count; ++n)
            it.members->push_back({vm(n), true, false, 3.5});
        it.configuration = {
            7, std::make_shared<std::string>(R"({"version": 7})")};
        it.read_age = std::chrono::milliseconds(20);
        it.targets.emplace();
        it.targets->revision = 50;
        it.targets->whole = true;
        target_record target;
        target.id = target_id("i-1");
        target.service = service_id("s1");
        target.version = "v2";
        target.cold_until = now_ + std::chrono::seconds(1);
        it.targets->put.push_back(target);
        it.targets->removed.emplace_back("i-2");
        it.closures = data_centre_closures{3, {data_centre_id("east")}};
        it.rollouts = decisions(now_);
        it.others = report();
        it.confirmed = report_position{5, 9};
        it.members_are_changes = true;
        return it;
    }

    /// Changes, removes or doubles some bytes.
    void mutate(std::string& bytes)
    {
        for (auto changes = 1 + random_() % 4; changes > 0; --changes) {
            if (bytes.empty())
                return;
            auto const at = random_() % bytes.size();
            switch (random_() % 3) {
            case 0:
                bytes[at] = static_cast<char>(random_() % 256);
                break;
            case 1:
                bytes.erase(at, 1 + random_() % 8);
                break;
            default:
                bytes.insert(at, bytes.substr(at, 1 + random_() % 8));
            }
        }
    }

    void check(duration it) const
    {
        EXPECT_GE(it, duration::zero());
        EXPECT_GT(now_ + it, time_point{});
        EXPECT_GT(now_ - it, time_point::min());
    }

    void check(vm_record const& it) const
    {
        EXPECT_TRUE(std::isfinite(it.cores) && it.cores >= 0);
        EXPECT_TRUE(std::isfinite(it.link_mbps) && it.link_mbps >= 0);
    }

    void check(traffic_report const& it) const
    {
        EXPECT_TRUE(std::isfinite(it.load) && it.load >= 0);
        for (auto const& [name, demand] : it.organisations)
            EXPECT_TRUE(
                std::isfinite(demand.demand) && std::isfinite(demand.granted));
        poison_guard guard;
        for (auto const& suspect : it.suspects) {
            check(suspect.age);
            guard.merge(suspect, now_);
        }
        guard.suspects(now_);
    }

    void check(wire::SyncQuestion const& message) const
    {
        auto const it = from_wire(message);
        check(it.from);
        check(it.long_poll_timeout);
        check(it.liveness_timeout);
        check(it.report);
        EXPECT_FALSE(to_wire(it).SerializeAsString().empty());
        check_hub(it);
        check_hub_of_another_data_centre(it);
    }

    void check_hub_of_another_data_centre(sync_question it) const
    {
        it.relation = sync_relation::hub;
        it.long_poll_timeout = {};
        fleet_state state;
        // The server refers to it.
        auto const self = vm(0);
        member_table members(self);
        sync_server server(self, state, members);
        server.set_remote_budget(1000);
        server.answer(it, now_, [&](sync_reply const& answer) {
            EXPECT_FALSE(to_wire(answer, now_).SerializeAsString().empty());
        });
        check(server.exchange_own_report({}, now_));
    }

    /// Lets a hub answer the question and tell other VMs of it.
    void check_hub(sync_question const& it) const
    {
        fleet_state state;
        member_table members(vm(0));
        sync_server server(vm(0), state, members);
        int replies = 0;
        auto const reply = [&](sync_reply const& answer) {
            ++replies;
            check(answer.others);
            EXPECT_FALSE(to_wire(answer, now_).SerializeAsString().empty());
        };
        server.answer(it, now_, reply);
        auto other = question();
        other.from = vm(2);
        other.long_poll_timeout = {};
        server.answer(other, now_, reply);
        server.choose_entries(now_);
        auto const later = now_ + std::chrono::hours(24 * 400);
        members.expire(later);
        server.answer_long_polls(later);
        server.expire(later);
        EXPECT_EQ(replies, 2);
        check_members(members);
    }

    /// Checks that the table still knows the VM itself.
    static void check_members(member_table const& members)
    {
        ASSERT_NE(members.find(vm(0).vm), nullptr);
        EXPECT_EQ(members.find(vm(0).vm)->record, vm(0));
        hub_order(members.members(), data_centre_id("east"));
    }

    void check(wire::SyncReply message) const
    {
        auto const it = from_wire(std::move(message), now_);
        check(it.others);
        if (it.read_age != duration::max())
            check(it.read_age);
        if (it.members) {
            for (auto const& member : *it.members) {
                check(member.record);
                EXPECT_TRUE(std::isfinite(member.load));
            }
            hub_order(*it.members, data_centre_id("east"));
            member_table members(vm(0));
            members.update_from_hub(*it.members, now_);
            check_members(members);
        }
        fleet_state state;
        if (it.closures)
            state.apply_closures(*it.closures);
        if (it.rollouts) {
            for (auto const& rollout : it.rollouts->items)
                EXPECT_TRUE(rollout.share >= 0 && rollout.share <= 1);
            state.apply_rollouts(*it.rollouts, now_);
            rollout_admission().make_table({}, state.rollouts(), now_);
        }
        if (it.read_age != duration::max())
            state.confirm(it.configuration.version, now_ - it.read_age);
        if (it.targets) {
            for (auto const& target : it.targets->put)
                EXPECT_GE(target.slots, 1);
            target_mirror mirror;
            mirror.apply(*it.targets);
            mirror.catalogue();
        }
        to_wire(it, now_);
    }

    time_point const now_ = time_point(std::chrono::hours(24 * 400));
    std::minstd_rand random_{1};
};

/// The rate of probes is chosen for this size, so that a search costs a VM at
/// most 9 KB/s.
TEST_F(codec_test, probe_and_its_answer_are_small)
{
    constexpr std::size_t max_bytes = 260;
    vm_record self;
    self.vm = vm_id("front-sidi-maarouf-118");
    self.data_centre = data_centre_id("sidi-maarouf");
    self.peers_address = "10.211.103.118:8407";
    self.callers_address = "10.211.103.118:8405";
    self.incarnation = ~0ULL;
    self.standing = vm_standing::serving;
    self.cores = 0.2;
    sync_question probe;
    probe.from = self;
    probe.relation = sync_relation::probe;
    probe.read_age = duration::zero();
    probe.liveness_timeout = std::chrono::seconds(1);
    probe.report.load = 101.5;
    fleet_state state;
    member_table members(self);
    auto const answer = sync_server(self, state, members).make_probe_reply();
    EXPECT_LE(
        to_wire(probe).ByteSizeLong() + to_wire(answer, now_).ByteSizeLong(),
        max_bytes);
}

TEST_F(codec_test, question_is_read_back)
{
    auto const it = from_wire(to_wire(question()));
    EXPECT_EQ(it.from, question().from);
    EXPECT_EQ(it.liveness_timeout, question().liveness_timeout);
    EXPECT_EQ(it.report.suspects.front().age, std::chrono::milliseconds(30));
}

/// A VM on another clock gets ages, so the times differ by no more than that.
TEST_F(codec_test, decisions_and_evidence_of_rollouts_are_read_back)
{
    auto const asked = from_wire(to_wire(question()));
    EXPECT_EQ(asked.rollouts, question().rollouts);
    EXPECT_EQ(asked.report.rollouts, report().rollouts);
    auto const later = now_ + std::chrono::hours(1);
    auto const it = from_wire(to_wire(reply(), now_), later);
    ASSERT_TRUE(it.rollouts);
    EXPECT_EQ(it.rollouts->position, decisions(later).position);
    EXPECT_EQ(it.rollouts->decided_at, decisions(later).decided_at);
    EXPECT_EQ(it.rollouts->items, decisions(later).items);
    EXPECT_EQ(it.targets->put.front().version, "v2");
}

TEST_F(codec_test, loads_of_services_are_read_back)
{
    EXPECT_EQ(from_wire(to_wire(question())).report.loads, loads());
}

TEST_F(codec_test, changes_of_a_report_are_read_back)
{
    auto const it = from_wire(to_wire(question()));
    ASSERT_TRUE(it.changes);
    EXPECT_EQ(it.changes->position, changes().position);
    EXPECT_EQ(it.changes->base, changes().base);
    EXPECT_EQ(it.changes->target_names, changes().target_names);
    EXPECT_EQ(it.changes->organisation_names, changes().organisation_names);
    EXPECT_EQ(it.changes->targets, changes().targets);
    EXPECT_EQ(it.changes->organisations, changes().organisations);
    EXPECT_EQ(it.changes->suspects, changes().suspects);
    EXPECT_EQ(it.changes->rollouts, changes().rollouts);
    EXPECT_EQ(it.changes->loads, changes().loads);
    EXPECT_EQ(it.changes->entries, 3u);
    EXPECT_TRUE(it.changes->partial);
    auto const answer = from_wire(to_wire(reply(), now_), now_);
    EXPECT_EQ(answer.confirmed, reply().confirmed);
    EXPECT_TRUE(answer.members_are_changes);
    EXPECT_FALSE(answer.report_omitted);
}

/// A cut row would shift the numbers of all rows behind it.
TEST_F(codec_test, changes_with_a_cut_row_are_refused_by_the_receiver)
{
    auto message = to_wire(question());
    message.mutable_changes()->set_base(0);
    message.mutable_changes()->add_targets(1);
    auto const it = from_wire(message);
    ASSERT_TRUE(it.changes);
    report_receiver receiver;
    EXPECT_FALSE(receiver.apply(*it.changes, now_));
}

/// Guards against a VM that takes data of an earlier era for the latest one.
TEST_F(codec_test, eras_of_targets_and_closures_are_read_back)
{
    auto asked = question();
    asked.targets.era = {7, false};
    asked.closures = {12, {}, {6, true}};
    asked.read_age = std::chrono::milliseconds(40);
    auto const it = from_wire(to_wire(asked));
    EXPECT_EQ(it.targets, asked.targets);
    EXPECT_EQ(it.closures, asked.closures);
    EXPECT_EQ(it.read_age, asked.read_age);
    auto replied = reply();
    replied.targets->era = {7, true};
    replied.closures->era = {8, false};
    auto const read = from_wire(to_wire(replied, now_), now_);
    EXPECT_EQ(read.targets->era, replied.targets->era);
    EXPECT_EQ(read.closures, replied.closures);
    // Messages of a version without eras have none.
    EXPECT_EQ(from_wire(wire::SyncQuestion()).targets.era, store_era());
}

TEST_F(codec_test, question_of_mutated_bytes_stays_in_bounds)
{
    auto const sound = to_wire(question()).SerializeAsString();
    int parsed = 0;
    for (int n = 0; n < mutations; ++n) {
        auto bytes = sound;
        mutate(bytes);
        wire::SyncQuestion message;
        if (!message.ParseFromString(bytes))
            continue;
        ++parsed;
        check(message);
    }
    EXPECT_GT(parsed, mutations / 100);
}

TEST_F(codec_test, reply_of_mutated_bytes_stays_in_bounds)
{
    auto const sound = to_wire(reply(), now_).SerializeAsString();
    int parsed = 0;
    for (int n = 0; n < mutations; ++n) {
        auto bytes = sound;
        mutate(bytes);
        wire::SyncReply message;
        if (!message.ParseFromString(bytes))
            continue;
        ++parsed;
        check(std::move(message));
    }
    EXPECT_GT(parsed, mutations / 100);
}

/// Guards against undefined behaviour of sorts and sums of times.
TEST_F(codec_test, numbers_out_of_range_are_bounded)
{
    for (auto const number : {std::numeric_limits<double>::quiet_NaN(),
             std::numeric_limits<double>::infinity(), -1e308}) {
        for (auto const count : {std::numeric_limits<std::int64_t>::max(),
                 std::numeric_limits<std::int64_t>::min()}) {
            auto asked = to_wire(question());
            asked.mutable_from()->set_cores(number);
            asked.mutable_from()->set_link_mbps(number);
            asked.set_wait_us(count);
            asked.set_patience_us(count);
            asked.mutable_report()->set_load(number);
            asked.mutable_report()->mutable_suspects(0)->set_age_us(count);
            check(asked);
            auto replied = to_wire(reply(), now_);
            for (int n = 0; n < replied.members_size(); n += 2) {
                replied.mutable_members(n)->mutable_record()->set_cores(number);
                replied.mutable_members(n)->set_load(number);
            }
            replied.set_read_age_us(count);
            replied.mutable_targets()->mutable_put(0)->set_slots(count);
            replied.mutable_targets()->mutable_put(0)->set_cold_left_us(count);
            check(std::move(replied));
        }
    }
}

} // namespace
} // namespace pomelohinge
