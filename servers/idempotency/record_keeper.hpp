#ifndef POMELOHINGE_SERVERS_IDEMPOTENCY_RECORD_KEEPER_HPP
#define POMELOHINGE_SERVERS_IDEMPOTENCY_RECORD_KEEPER_HPP

#include "servers/idempotency/record_table.hpp"
#include "servers/peers/messages.hpp"
#include "servers/requests/policy.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>

namespace pomelohinge {

/// Keeps idempotency records as owner or as a further keeper. The owner
/// answers a step once another keeper has it too, and before it begins a
/// record it learns what former keepers have, so that the death of any one
/// VM loses nothing.
template <class Environment>
class record_keeper
{
public:
    using reply_callback = std::function<void(record_reply)>;

    explicit record_keeper(Environment& environment) : environment_(environment)
    {
    }

    /// Carries out a step of a record.
    void record(record_question const& question, reply_callback reply)
    {
        auto const now = environment_.now();
        auto const& record = question.record;
        switch (question.step) {
        case record_step::copy:
            records_.merge(record, now);
            return reply({record_outcome::accepted, {}, {}});
        case record_step::withdraw_copy:
            records_.withdraw(record.organisation, record.repeat_key);
            return reply({record_outcome::accepted, {}, {}});
        case record_step::fetch:
            return reply({record_outcome::accepted, {},
                records_.of(record.organisation)});
        case record_step::begin:
        case record_step::finish:
        case record_step::lose:
        case record_step::withdraw:
            return record_as_owner(question, std::move(reply));
        }
    }

    /// Records that have another keeper now than under `before`.
    std::vector<idempotency_record> to_hand_over(
        policy_pointer const& before) const
    {
        std::vector<idempotency_record> moved;
        for (auto const& it : records_.organisations())
            if (keepers_changed(it, before))
                for (auto& record : records_.of(it))
                    moved.push_back(std::move(record));
        return moved;
    }

    void take_over(std::vector<idempotency_record> const& records)
    {
        for (auto const& it : records)
            records_.merge(it, environment_.now());
    }

    void expire() { records_.expire(environment_.now()); }
    std::size_t size() const { return records_.size(); }

private:
    using keepers = std::vector<vm_record const*>;

    ownership const& owners() const
    {
        return environment_.current_policy()->owners;
    }

    /// Whether this VM is the owner and may act, checked next to the act.
    bool may_own(std::string const& organisation) const
    {
        auto const& policy = environment_.current_policy();
        if (policy == nullptr || policy->leaving ||
            environment_.now() >= environment_.lease_end())
            return false;
        auto const key = records_key(organisation);
        auto const ranked = owners().owners(key);
        return !ranked.empty() && ranked.front()->vm == owners().self() &&
            owners().may_act(key, environment_.now());
    }

    void record_as_owner(record_question const& question, reply_callback reply)
    {
        auto const organisation = question.record.organisation;
        if (!may_own(organisation))
            return reply({record_outcome::not_ready, {}, {}});
        if (knows_former_keepers(organisation))
            return act(question, reply);
        fetch_from_former(organisation, [this, question, reply](bool known) {
            if (!known || !may_own(question.record.organisation))
                return reply({record_outcome::not_ready, {}, {}});
            act(question, reply);
        });
    }

    void act(record_question const& question, reply_callback const& reply)
    {
        if (question.step == record_step::begin)
            begin(question.record, reply);
        else
            change(question, reply);
    }

    // What former keepers know.

    /// Names the keepers of now and lately; it changes with each of them.
    std::string keepers_name(std::string const& organisation) const
    {
        std::string name;
        for (auto const* it : owners().owners(records_key(organisation)))
            name += it->vm.text() + std::to_string(it->incarnation) + " ";
        return name;
    }

    bool knows_former_keepers(std::string const& organisation) const
    {
        auto const it = known_from_.find(organisation);
        return it != known_from_.end() &&
            it->second == keepers_name(organisation);
    }

    void fetch_from_former(
        std::string const& organisation, std::function<void(bool)> done)
    {
        auto const sources = owners().recent_owners(records_key(organisation));
        auto const name = keepers_name(organisation);
        ask_all(sources, make_question(record_step::fetch, organisation),
            [this, organisation, name, done](
                std::vector<record_reply> const& replies) {
                bool all = true;
                for (auto const& it : replies) {
                    all &= it.result == record_outcome::accepted;
                    take_over(it.records);
                }
                if (all)
                    known_from_[organisation] = name;
                done(all);
            });
    }

    static record_question make_question(
        record_step step, std::string const& organisation)
    {
        record_question question;
        question.step = step;
        question.record.organisation = organisation;
        return question;
    }

    /// Asks all of `vms` and calls `done` with their replies.
    void ask_all(keepers const& vms, record_question const& question,
        std::function<void(std::vector<record_reply> const&)> done)
    {
        if (vms.empty())
            return done({});
        auto const replies = std::make_shared<std::vector<record_reply>>();
        auto const expected = vms.size();
        for (auto const* it : vms)
            environment_.ask_record(
                *it, question, [replies, expected, done](record_reply reply) {
                    replies->push_back(std::move(reply));
                    if (replies->size() == expected)
                        done(*replies);
                });
    }

    // Steps as owner.

    static record_outcome outcome_of(record_verdict verdict)
    {
        switch (verdict) {
        case record_verdict::proceed:
            return record_outcome::accepted;
        case record_verdict::running:
            return record_outcome::running;
        case record_verdict::done:
            return record_outcome::done;
        case record_verdict::unknown:
            return record_outcome::unknown;
        case record_verdict::differs:
            return record_outcome::differs;
        case record_verdict::full:
            return record_outcome::full;
        }
        return record_outcome::unknown;
    }

    keepers other_keepers(std::string const& organisation) const
    {
        auto others = owners().owners(records_key(organisation));
        std::erase_if(
            others, [&](auto const* it) { return it->vm == owners().self(); });
        return others;
    }

    void begin(idempotency_record const& record, reply_callback const& reply)
    {
        records_.expire(environment_.now());
        auto const verdict = records_.begin(record, environment_.now());
        record_reply answer{outcome_of(verdict), {}, {}};
        if (verdict == record_verdict::done)
            answer.answer =
                records_.find(record.organisation, record.repeat_key)->answer;
        if (verdict != record_verdict::proceed)
            return reply(std::move(answer));
        auto const others = other_keepers(record.organisation);
        if (others.empty())
            return reply(std::move(answer));
        copy_to(others, record, [this, record, reply](bool kept) {
            if (kept && may_own(record.organisation))
                return reply({record_outcome::accepted, {}, {}});
            records_.withdraw(record.organisation, record.repeat_key);
            reply({record_outcome::not_ready, {}, {}});
        });
    }

    void change(record_question const& question, reply_callback const& reply)
    {
        auto const& it = question.record;
        auto const now = environment_.now();
        if (question.step == record_step::withdraw)
            return withdraw(it, reply);
        if (question.step == record_step::finish)
            records_.finish(it.organisation, it.repeat_key, it.answer, now);
        else
            records_.lose(it.organisation, it.repeat_key, now);
        auto const* const changed =
            records_.find(it.organisation, it.repeat_key);
        auto const others = other_keepers(it.organisation);
        if (changed == nullptr || others.empty())
            return reply({record_outcome::accepted, {}, {}});
        copy_to(others, *changed, [reply](bool) {
            reply({record_outcome::accepted, {}, {}});
        });
    }

    /// A message may be lost: then a copy ends as unknown, and a later
    /// repeat is refused although it could run.
    void withdraw(idempotency_record const& record, reply_callback const& reply)
    {
        records_.withdraw(record.organisation, record.repeat_key);
        record_question const question{record_step::withdraw_copy, record};
        for (auto const* it : other_keepers(record.organisation))
            environment_.ask_record(*it, question, [](record_reply) {});
        reply({record_outcome::accepted, {}, {}});
    }

    /// Copies a record to other keepers; `kept` is told once, as soon as one
    /// has it or none can.
    void copy_to(keepers const& others, idempotency_record const& record,
        std::function<void(bool)> kept)
    {
        record_question const question{record_step::copy, record};
        auto const missing = std::make_shared<std::size_t>(others.size());
        auto const told = std::make_shared<bool>(false);
        for (auto const* it : others)
            environment_.ask_record(
                *it, question, [missing, told, kept](record_reply reply) {
                    bool const has = reply.result == record_outcome::accepted;
                    bool const last = --*missing == 0;
                    if ((has || last) && !std::exchange(*told, true))
                        kept(has);
                });
    }

    bool keepers_changed(
        std::string const& organisation, policy_pointer const& before) const
    {
        if (before == nullptr)
            return true;
        auto const key = records_key(organisation);
        auto const old = before->owners.owners(key);
        auto const next = owners().owners(key);
        return !std::equal(old.begin(), old.end(), next.begin(), next.end(),
            [](auto const* left, auto const* right) {
                return left->vm == right->vm &&
                    left->incarnation == right->incarnation;
            });
    }

    Environment& environment_;
    record_table records_;
    /// By organisation, the keepers under which former ones were asked.
    std::map<std::string, std::string> known_from_;
};

} // namespace pomelohinge

#endif
