#include "servers/buffers/buffer_budget.hpp"

#include "core/log.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace pomelohinge {
namespace {

/// Share of the budget that the messages of one source may have while they are
/// being received.
constexpr std::size_t sources_per_budget = 8;

} // namespace

buffer_charge::buffer_charge(buffer_charge&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)), id_(other.id_)
{
}

buffer_charge& buffer_charge::operator=(buffer_charge&& other) noexcept
{
    if (this != &other) {
        release();
        budget_ = std::exchange(other.budget_, nullptr);
        id_ = other.id_;
    }
    return *this;
}

buffer_charge::~buffer_charge()
{
    release();
}

bool buffer_charge::grow(std::size_t bytes, std::function<void()> on_room)
{
    return budget_ == nullptr || budget_->grow(id_, bytes, std::move(on_room));
}

void buffer_charge::complete()
{
    if (budget_ != nullptr)
        budget_->complete(id_);
}

void buffer_charge::release()
{
    if (auto* const budget = std::exchange(budget_, nullptr))
        budget->release(id_);
}

buffer_budget::buffer_budget(std::size_t total_bytes)
    : buffer_budget(total_bytes, total_bytes / sources_per_budget)
{
}

buffer_budget::buffer_budget(std::size_t total_bytes, std::size_t source_bytes)
    : total_limit_(total_bytes), source_limit_(source_bytes)
{
}

buffer_charge buffer_budget::open(std::string const& source)
{
    auto const id = ++last_id_;
    messages_[id].source = source;
    sources_[source].receiving.insert(id);
    receiving_.insert(id);
    return {*this, id};
}

bool buffer_budget::has_room(
    std::uint64_t id, message const& it, std::size_t bytes) const
{
    auto const added = bytes - it.bytes;
    auto const& source = sources_.at(it.source);
    bool const fits_source = source.bytes + added <= source_limit_ ||
        id == *source.receiving.begin();
    bool const may_exceed =
        id == *receiving_.begin() && (exceeding_ == 0 || exceeding_ == id);
    bool const fits = usage_.used_bytes + added <= total_limit_ || may_exceed;
    return fits_source && fits;
}

void buffer_budget::set_bytes(std::uint64_t id, message& it, std::size_t bytes)
{
    auto const added = bytes - it.bytes;
    if (usage_.used_bytes + added > total_limit_)
        exceeding_ = id;
    it.bytes = bytes;
    sources_.at(it.source).bytes += added;
    usage_.used_bytes += added;
    usage_.peak_bytes = std::max(usage_.peak_bytes, usage_.used_bytes);
}

bool buffer_budget::grow(
    std::uint64_t id, std::size_t bytes, std::function<void()> on_room)
{
    auto& it = messages_.at(id);
    if (!it.receiving || bytes <= it.bytes)
        return true;
    if (has_room(id, it, bytes)) {
        set_bytes(id, it, bytes);
        waiting_.erase(id);
        return true;
    }
    if (waiting_.empty())
        log(log_event::buffers_full,
            {{"source", it.source}, {"bytes", bytes},
                {"used", usage_.used_bytes}, {"limit", total_limit_},
                {"used_by_source", sources_.at(it.source).bytes},
                {"limit_of_source", source_limit_}});
    ++usage_.waits;
    it.wanted_bytes = bytes;
    it.on_room = std::move(on_room);
    waiting_.insert(id);
    return false;
}

void buffer_budget::complete(std::uint64_t id)
{
    stop_receiving(id, messages_.at(id));
    wake_waiting();
}

void buffer_budget::release(std::uint64_t id)
{
    auto const it = messages_.find(id);
    stop_receiving(id, it->second);
    if (exceeding_ == id)
        exceeding_ = 0;
    usage_.used_bytes -= it->second.bytes;
    messages_.erase(it);
    wake_waiting();
}

void buffer_budget::stop_receiving(std::uint64_t id, message& it)
{
    if (!std::exchange(it.receiving, false))
        return;
    receiving_.erase(id);
    waiting_.erase(id);
    auto const source = sources_.find(it.source);
    source->second.bytes -= it.bytes;
    source->second.receiving.erase(id);
    if (source->second.receiving.empty())
        sources_.erase(source);
}

/// Grows the waiting messages for which there is room now.
void buffer_budget::wake_waiting()
{
    std::vector<std::function<void()>> woken;
    std::erase_if(waiting_, [&](std::uint64_t id) {
        auto& it = messages_.at(id);
        if (!has_room(id, it, it.wanted_bytes))
            return false;
        set_bytes(id, it, it.wanted_bytes);
        woken.push_back(std::exchange(it.on_room, nullptr));
        return true;
    });
    for (auto const& it : woken)
        it();
}

} // namespace pomelohinge
