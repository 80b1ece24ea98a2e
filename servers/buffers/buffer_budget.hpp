#ifndef POMELOHINGE_SERVERS_BUFFERS_BUFFER_BUDGET_HPP
#define POMELOHINGE_SERVERS_BUFFERS_BUFFER_BUDGET_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace pomelohinge {

class buffer_budget;

/// The bytes that one message holds of a `buffer_budget`. They are returned
/// when the charge is destroyed. The budget must outlive it.
class buffer_charge
{
public:
    buffer_charge() = default;
    buffer_charge(buffer_charge&& other) noexcept;
    buffer_charge& operator=(buffer_charge&& other) noexcept;
    ~buffer_charge();

    /// Whether the charge belongs to a budget.
    explicit operator bool() const { return budget_ != nullptr; }

    /// Raises the charge to `bytes`. Returns false if the budget has no room;
    /// `on_room` is called once it has, unless the charge ends before. The
    /// caller then calls this function again. `on_room` must not call the
    /// budget itself.
    bool grow(std::size_t bytes, std::function<void()> on_room);

    /// Marks the message as received completely. It no longer counts for its
    /// source.
    void complete();

private:
    friend class buffer_budget;
    buffer_charge(buffer_budget& budget, std::uint64_t id)
        : budget_(&budget), id_(id)
    {
    }

    void release();

    buffer_budget* budget_ = nullptr;
    std::uint64_t id_ = 0;
};

/// What a `buffer_budget` holds.
struct buffer_usage
{
    /// Bytes that are held now, and most that were held at any time.
    std::size_t used_bytes = 0;
    std::size_t peak_bytes = 0;
    /// How often a message had to wait for room.
    std::uint64_t waits = 0;
};

/// Limits the bytes of large messages that one traffic thread holds for others
/// at the same time: all together, and those that are being received from one
/// source, so that a faulty source does not take the room of others.
///
/// The oldest message that is being received from a source may exceed the limit
/// of the source, and the oldest of all may exceed both, so that several
/// messages of which none fits do not wait for each other for ever. Only one of
/// the messages that are held may have exceeded the total.
class buffer_budget
{
public:
    explicit buffer_budget(std::size_t total_bytes);
    buffer_budget(std::size_t total_bytes, std::size_t source_bytes);
    buffer_budget(buffer_budget const&) = delete;
    buffer_budget& operator=(buffer_budget const&) = delete;

    /// Begins a message from `source`.
    buffer_charge open(std::string const& source);

    buffer_usage const& usage() const { return usage_; }

private:
    friend class buffer_charge;

    struct message
    {
        std::string source;
        std::size_t bytes = 0;
        bool receiving = true;
        /// Bytes that the message waits for, and whom to call then.
        std::size_t wanted_bytes = 0;
        std::function<void()> on_room;
    };

    /// The messages that are being received from one source.
    struct source_state
    {
        std::size_t bytes = 0;
        /// Their ids, by age.
        std::set<std::uint64_t> receiving;
    };

    bool has_room(std::uint64_t id, message const& it, std::size_t bytes) const;
    void set_bytes(std::uint64_t id, message& it, std::size_t bytes);
    bool grow(
        std::uint64_t id, std::size_t bytes, std::function<void()> on_room);
    void complete(std::uint64_t id);
    void release(std::uint64_t id);
    void stop_receiving(std::uint64_t id, message& it);
    void wake_waiting();

    std::size_t total_limit_;
    std::size_t source_limit_;
    buffer_usage usage_;
    /// The message that exceeds the total limit; 0 if there is none.
    std::uint64_t exceeding_ = 0;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, message> messages_;
    std::map<std::string, source_state> sources_;
    /// Messages that are being received, and those of them that wait for room,
    /// by age.
    std::set<std::uint64_t> receiving_;
    std::set<std::uint64_t> waiting_;
};

} // namespace pomelohinge

#endif
