#ifndef POMELOHINGE_TESTS_SIMULATION_FAKE_UPSTREAM_HPP
#define POMELOHINGE_TESTS_SIMULATION_FAKE_UPSTREAM_HPP

#include "servers/dispatch/target_owner.hpp"
#include "tests/simulation/virtual_world.hpp"

#include <map>
#include <set>
#include <string>

namespace pomelohinge::simulation {

/// How an upstream behaves.
enum class upstream_behaviour { healthy, slow, hanging, failing, dead };

/// One upstream: what it runs, and a ledger of what it ran.
class fake_upstream
{
public:
    /// `number` tells the upstreams of a run apart.
    fake_upstream(virtual_world& world, std::uint64_t number, std::string name,
        std::size_t slots)
        : world_(world), name_(std::move(name)), slots_(slots),
          last_id_(number << 32)
    {
    }

    void set_behaviour(upstream_behaviour next)
    {
        if (next == upstream_behaviour::dead)
            lose_running();
        behaviour_ = next;
    }

    /// Loses its warmth and whatever runs.
    void crash()
    {
        lose_running();
        warmth_ = 0;
        ++crashes_;
    }

    void set_poison(std::string path) { poison_ = std::move(path); }

    /// Runs a request; the answer comes unless it hangs.
    std::uint64_t run(dispatch_order const& order, std::string const& from,
        std::function<void(attempt_end)> done)
    {
        auto const id = ++last_id_;
        running_.emplace(id, run_state{std::move(done), from});
        world_.after(std::chrono::microseconds(300),
            [this, id, order] { begin(id, order); });
        world_.after(order.remaining, [this, id] {
            end(id, {attempt_result::timed_out, {}});
        });
        return id;
    }

    void cancel(std::uint64_t id) { end(id, {attempt_result::cancelled, {}}); }

    /// The VM died: its connections break and its requests are cancelled.
    void drop_from(std::string const& vm)
    {
        std::erase_if(
            running_, [&](auto const& it) { return it.second.from == vm; });
    }

    std::size_t slots() const { return slots_; }
    std::size_t most_running() const { return most_running_; }
    std::size_t overloads() const { return overloads_; }
    std::size_t crashes() const { return crashes_; }
    std::uint64_t runs() const { return runs_; }
    time_point last_begin() const { return last_begin_; }
    std::map<std::string, int> const& ledger() const { return ledger_; }

private:
    struct run_state
    {
        std::function<void(attempt_end)> done;
        std::string from;
        bool begun = false;
    };

    void begin(std::uint64_t id, dispatch_order const& order)
    {
        auto const it = running_.find(id);
        if (it == running_.end())
            return;
        if (behaviour_ == upstream_behaviour::dead)
            return end(id, {attempt_result::connect_failed, {}});
        it->second.begun = true;
        ++ledger_[order.request_id];
        ++runs_;
        last_begin_ = world_.now();
        if (!poison_.empty() && order.path == poison_)
            return crash();
        note_load();
        if (behaviour_ == upstream_behaviour::hanging && world_.chance(0.5))
            return;
        world_.after(service_time(), [this, id, order] {
            warmth_ = std::min(1.0, warmth_ + 0.02);
            end(id, answer(order));
        });
    }

    void note_load()
    {
        std::size_t load = 0;
        for (auto const& [id, it] : running_)
            load += it.begun ? 1 : 0;
        most_running_ = std::max(most_running_, load);
        if (load > slots_)
            ++overloads_;
    }

    duration service_time()
    {
        std::lognormal_distribution<double> spread(0, 0.3);
        double ms = 10 * spread(world_.random()) * (1 + 2 * (1 - warmth_));
        if (behaviour_ == upstream_behaviour::slow)
            ms *= 20;
        return std::chrono::microseconds(static_cast<std::int64_t>(ms * 1000));
    }

    attempt_end answer(dispatch_order const& order) const
    {
        attempt_end ended;
        bool const failing = behaviour_ == upstream_behaviour::failing;
        ended.result =
            failing ? attempt_result::server_error : attempt_result::answered;
        ended.answer.status = failing ? 500 : 200;
        ended.answer.body = order.request_id;
        return ended;
    }

    void lose_running()
    {
        for (auto& [id, it] : std::exchange(running_, {}))
            it.done({it.begun ? attempt_result::connection_lost
                              : attempt_result::connect_failed,
                {}});
    }

    void end(std::uint64_t id, attempt_end ended)
    {
        auto const it = running_.find(id);
        if (it == running_.end())
            return;
        auto const done = std::move(it->second.done);
        running_.erase(it);
        done(std::move(ended));
    }

    virtual_world& world_;
    std::string name_;
    std::size_t slots_;
    std::uint64_t last_id_;
    upstream_behaviour behaviour_ = upstream_behaviour::healthy;
    double warmth_ = 1;
    std::string poison_;
    std::map<std::uint64_t, run_state> running_;
    std::size_t most_running_ = 0;
    std::size_t overloads_ = 0;
    std::size_t crashes_ = 0;
    std::uint64_t runs_ = 0;
    time_point last_begin_{};
    std::map<std::string, int> ledger_;
};

} // namespace pomelohinge::simulation

#endif
