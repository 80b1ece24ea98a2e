#include "main/control_thread.hpp"

#include <asio/post.hpp>
#include <fmt/format.h>
#include <malloc.h>

namespace pomelohinge {
namespace {

/// How long the store may hold a watch before it answers "nothing new"; the
/// freshness of all VMs of the data centre rests on these answers.
constexpr duration watch_wait = std::chrono::milliseconds(500);

/// By then no request decides by a former snapshot any more.
constexpr duration policy_memory = std::chrono::seconds(5);

vm_record record_of(settings const& configured, std::uint64_t incarnation)
{
    return {configured.vm, configured.data_centre, configured.peers_address,
        configured.callers_address, incarnation, vm_standing::serving};
}

} // namespace

control_thread::control_thread(settings const& configured,
    chart_list const& rules, traffic_threads const& traffic)
    : settings_(configured), traffic_(traffic), random_(std::random_device{}()),
      context_(1), clock_(context_), http_(context_),
      store_(http_, configured.platform_address), platform_(store_),
      upstreams_(http_, 1 << 16), peers_(context_),
      plane_(rules, record_of(configured, random_()), configured.seeds, *this,
          timers_)
{
}

void control_thread::start()
{
    plane_.start();
    keep_time();
}

void control_thread::post(std::function<void()> work)
{
    asio::post(context_, std::move(work));
}

void control_thread::after(duration wait, std::function<void()> work)
{
    auto const timer = std::make_shared<asio::steady_timer>(context_, wait);
    timer->async_wait([timer, work = std::move(work)](asio::error_code ec) {
        if (!ec)
            work();
    });
}

void control_thread::keep_time()
{
    timers_.run_due(now());
    release_old_policies();
    // New timers come up to a tick late, which no timer here minds.
    constexpr duration longest_wait = std::chrono::milliseconds(50);
    auto const due = timers_.next_due().value_or(now() + longest_wait);
    clock_.expires_at(std::min(due, now() + longest_wait));
    clock_.async_wait([this](asio::error_code ec) {
        if (!ec)
            keep_time();
    });
}

void control_thread::release_old_policies()
{
    auto const released = std::erase_if(old_policies_,
        [&](auto const& it) { return now() - it.first > policy_memory; });
    // A large snapshot leaves much memory that the allocator would keep.
    if (released > 0)
        malloc_trim(0);
    peers_.drop_idle(now());
}

void control_thread::watch_store(
    std::uint64_t revision, std::function<void(store_changes)> done)
{
    platform_.changes_after(revision, watch_wait, std::move(done));
}

void control_thread::write_view(
    data_centre_view const& view, std::function<void(store_status)> done)
{
    auto const writer =
        fmt::format("{}-{:016x}", settings_.vm.text(), random_());
    platform_.write_view(view, writer, std::move(done));
}

void control_thread::send_sync(std::string const& address,
    sync_question const& question, std::function<void(sync_reply)> done)
{
    peers_.sync(address, question, std::move(done));
}

void control_thread::send_release(
    vm_record const& vm, release_notice const& notice)
{
    peers_.release(vm.peers_address, notice);
}

void control_thread::send_floor(vm_record const& vm,
    floor_question const& question, std::function<void(floor_reply)> done)
{
    peers_.floor(vm.peers_address, question, std::move(done));
}

void control_thread::ask_reach(vm_record const& vm,
    reach_question const& question, std::function<void(reach_verdict)> done)
{
    if (vm.vm == settings_.vm)
        return reach_vm(question.vm_address, std::move(done));
    peers_.reach(vm.peers_address, question, std::move(done));
}

void control_thread::reach_vm(
    std::string const& address, std::function<void(reach_verdict)> done)
{
    // An empty question is answered by any VM that runs.
    peers_.reach(address, {}, [done = std::move(done)](reach_verdict verdict) {
        done(verdict == reach_verdict::reached ? reach_verdict::reached
                                               : reach_verdict::not_reached);
    });
}

void control_thread::publish(policy_pointer const& next,
    hand_over_callback done, std::function<void()> lost_are_idle)
{
    struct collected
    {
        std::size_t missing;
        organisation_hand_over taken;
        hand_over_callback done;
    };
    old_policies_.emplace_back(now(), next);
    auto const busy = std::make_shared<std::size_t>(traffic_.size());
    auto const all = std::make_shared<collected>(
        collected{traffic_.size(), {}, std::move(done)});
    for (auto const& it : traffic_)
        it->post([this, all, next, busy, lost_are_idle, &thread = *it] {
            auto released = thread.set_policy(next);
            thread.targets().when_lost_are_idle([this, busy, lost_are_idle] {
                post([busy, lost_are_idle] {
                    if (--*busy == 0)
                        lost_are_idle();
                });
            });
            post([all, released = std::move(released)] {
                auto& [missing, taken, done] = *all;
                taken.shares.insert(taken.shares.end(), released.shares.begin(),
                    released.shares.end());
                taken.records.insert(taken.records.end(),
                    released.records.begin(), released.records.end());
                if (--missing == 0)
                    done(std::move(taken));
            });
        });
}

void control_thread::take_over(organisation_hand_over taken)
{
    std::vector<organisation_hand_over> parts(traffic_.size());
    for (auto& it : taken.shares)
        parts[thread_of(it.organisation.text(), parts.size())].shares.push_back(
            std::move(it));
    for (auto& it : taken.records)
        parts[thread_of(it.organisation, parts.size())].records.push_back(
            std::move(it));
    for (std::size_t it = 0; it < parts.size(); ++it)
        if (!parts[it].empty())
            traffic_[it]->post(
                [&thread = *traffic_[it], part = std::move(parts[it])] {
                    thread.organisations().take_over(part);
                });
}

void control_thread::set_limit(target_id const& target, std::size_t limit)
{
    auto& thread = *traffic_[thread_of(target.text(), traffic_.size())];
    thread.post([&thread, target, limit] {
        thread.targets().set_limit(target, limit);
    });
}

void control_thread::set_lease_end(time_point end)
{
    if (std::exchange(sent_lease_end_, end) == end)
        return;
    for (auto const& it : traffic_)
        it->post([&thread = *it, end] { thread.set_lease_end(end); });
}

void control_thread::probe_upstream(
    std::string const& address, std::function<void(bool)> done)
{
    upstreams_.probe(address, std::move(done));
}

} // namespace pomelohinge
