#include "drivers/http/connection_pool.hpp"

#include "drivers/http/answer_parser.hpp"
#include "drivers/http/curl_loop.hpp"
#include "drivers/http/endpoint.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <vector>

namespace pomelohinge {
namespace {

using tcp = asio::ip::tcp;

/// A connection inside of a region opens within a few milliseconds. One that
/// does not by then meets a machine without power or a cut link.
constexpr duration connect_patience = std::chrono::milliseconds(350);

/// Idle connections to one address, and how long they are kept unless the
/// upstream says how long it keeps them.
constexpr std::size_t most_idle_each = 8;
constexpr duration default_idle = std::chrono::seconds(4);

/// Kept back of the time for which an upstream says it keeps a connection.
constexpr duration idle_margin = std::chrono::milliseconds(1000);

/// How long a lost kept connection makes others be used less.
constexpr duration loss_memory = std::chrono::seconds(15);

/// Answers that do not belong to the request before the connection is given
/// up.
constexpr int most_skipped = 3;

/// The seconds of `Keep-Alive: timeout=N`; nothing if not stated.
std::optional<duration> stated_idle(upstream_answer const& answer)
{
    constexpr std::string_view name = "timeout=";
    auto const value = find_header(answer.headers, "Keep-Alive");
    auto const at = value.find(name);
    if (at == std::string_view::npos)
        return std::nullopt;
    auto digits = value.substr(at + name.size());
    digits = digits.substr(0, digits.find_first_not_of("0123456789"));
    int seconds = 0;
    if (!absl::SimpleAtoi(
            absl::string_view(digits.data(), digits.size()), &seconds))
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

class connection_pool::detail
{
public:
    explicit detail(asio::io_context& context) : context_(context) {}

    ~detail();

    std::uint64_t start(exchange_call call, callback on_end);
    void cancel(std::uint64_t id);
    void sweep();

    bool has_idle(std::string const& address) const
    {
        auto const it = idle_.find(address);
        return it != idle_.end() && !it->second.empty();
    }

    duration safe_idle() const
    {
        return boottime_clock::now() < safe_until_ ? safe_idle_
                                                   : duration::max();
    }

private:
    class connection;
    using connection_pointer = std::shared_ptr<connection>;

    connection_pointer take_idle(
        std::string const& address, duration longest_idle);
    void finished(connection_pointer const& it, exchange_result result);
    void keep(connection_pointer it);
    void drop_idle(connection_pointer const& it);
    void note_kept_loss(duration idle);

    asio::io_context& context_;
    std::uint64_t last_id_ = 0;
    absl::flat_hash_map<std::uint64_t, connection_pointer> exchanges_;
    absl::flat_hash_map<std::string, std::vector<connection_pointer>> idle_;
    duration safe_idle_ = duration::max();
    time_point safe_until_{};
};

/// One connection. It is held by the pool and by the waits on its socket.
class connection_pool::detail::connection
    : public std::enable_shared_from_this<connection>
{
public:
    connection(detail& pool, std::string address)
        : pool_(&pool), address_(std::move(address)), socket_(pool.context_),
          timer_(pool.context_)
    {
    }

    std::string const& address() const { return address_; }
    std::uint64_t id() const { return id_; }
    time_point idle_since() const { return idle_since_; }
    time_point expires_at() const { return idle_since_ + idle_limit_; }

    /// Starts an exchange on a new or a kept connection.
    void begin(std::uint64_t id, exchange_call call, callback on_end)
    {
        id_ = id;
        call_ = std::move(call);
        on_end_ = std::move(on_end);
        reused_ = connected_;
        idle_before_ =
            reused_ ? boottime_clock::now() - idle_since_ : duration::zero();
        is_idle_ = false;
        skipped_ = 0;
        parser_.emplace(call_.is_head, call_.most_answer_bytes);
        ends_at_ = boottime_clock::now() + call_.time_limit;
        if (connected_)
            return write();
        connect();
    }

    /// Waits for the end of an idle connection, or for bytes that nobody
    /// asked for.
    void rest()
    {
        is_idle_ = true;
        idle_since_ = boottime_clock::now();
        timer_.cancel();
        if (!reading_)
            read();
    }

    void close()
    {
        asio::error_code ec;
        socket_.close(ec);
        timer_.cancel();
        connected_ = false;
        pool_ = nullptr;
        on_end_ = nullptr;
    }

private:
    void connect()
    {
        auto const to = parse_endpoint(address_);
        if (!to)
            return end_later(exchange_end::connect_failed);
        asio::error_code ec;
        socket_.open(tcp::v4(), ec);
        if (ec)
            return end_later(exchange_end::connect_failed);
        socket_.set_option(tcp::no_delay(true), ec);
        await_time(std::min(connect_patience, call_.time_limit));
        socket_.async_connect(
            *to, [self = shared_from_this()](asio::error_code ec) {
                self->opened(ec);
            });
    }

    void end_later(exchange_end end)
    {
        asio::post(socket_.get_executor(),
            [self = shared_from_this(), end] { self->fail(end); });
    }

    void opened(asio::error_code ec)
    {
        if (pool_ == nullptr)
            return;
        if (ec)
            return fail(exchange_end::connect_failed);
        connected_ = true;
        write();
    }

    void write()
    {
        await_time(ends_at_ - boottime_clock::now());
        writing_ = true;
        std::array<asio::const_buffer, 2> const buffers{
            asio::buffer(call_.head), asio::buffer(call_.body)};
        asio::async_write(socket_, buffers,
            [self = shared_from_this(), id = id_](
                asio::error_code ec, std::size_t) { self->written(id, ec); });
        if (!reading_)
            read();
    }

    void written(std::uint64_t id, asio::error_code ec)
    {
        if (pool_ == nullptr || id != id_)
            return;
        writing_ = false;
        // An answer may have come nevertheless; the read tells.
        write_failed_ = static_cast<bool>(ec);
    }

    void read()
    {
        reading_ = true;
        socket_.async_read_some(asio::buffer(input_),
            [self = shared_from_this()](asio::error_code ec, std::size_t n) {
                self->reading_ = false;
                self->arrived(ec, n);
            });
    }

    void arrived(asio::error_code ec, std::size_t n)
    {
        if (pool_ == nullptr)
            return;
        if (is_idle_) {
            auto const self = shared_from_this();
            pool_->drop_idle(self);
            return close();
        }
        if (ec)
            return ended_by_peer(ec);
        take(std::string_view(input_.data(), n));
    }

    void take(std::string_view bytes)
    {
        std::size_t taken = 0;
        switch (parser_->take(bytes, taken)) {
        case answer_parser::progress::incomplete:
            return read();
        case answer_parser::progress::unparsable:
            return fail(exchange_end::unparsable);
        case answer_parser::progress::too_large:
            return fail(exchange_end::too_large);
        case answer_parser::progress::complete:
            return completed(bytes.substr(taken));
        }
    }

    void completed(std::string_view rest)
    {
        if (call_.belongs && !call_.belongs(parser_->answer()))
            return skip(rest);
        bool const reusable = parser_->keeps_alive() && rest.empty() &&
            !writing_ && !write_failed_;
        auto answer = std::move(parser_->answer());
        idle_limit_ = stated_idle(answer).value_or(default_idle + idle_margin) -
            idle_margin;
        auto* const pool = pool_;
        auto const self = shared_from_this();
        exchange_result result{
            exchange_end::answered, std::move(answer), reused_};
        auto on_end = std::exchange(on_end_, nullptr);
        pool->exchanges_.erase(id_);
        if (reusable && idle_limit_ > duration::zero())
            pool->keep(self);
        else
            close();
        on_end(std::move(result));
    }

    /// An answer to an earlier request came first.
    void skip(std::string_view rest)
    {
        if (++skipped_ > most_skipped || !parser_->keeps_alive())
            return fail(exchange_end::unparsable);
        parser_.emplace(call_.is_head, call_.most_answer_bytes);
        if (rest.empty())
            return read();
        std::string const bytes(rest);
        take(bytes);
    }

    void ended_by_peer(asio::error_code ec)
    {
        if (ec == asio::error::eof &&
            parser_->end_of_input() == answer_parser::progress::complete)
            return completed({});
        bool const unanswered = reused_ && !parser_->started();
        if (unanswered)
            pool_->note_kept_loss(idle_before_);
        fail(unanswered ? exchange_end::kept_lost : exchange_end::lost);
    }

    void await_time(duration wait)
    {
        timer_.expires_after(std::max(wait, duration::zero()));
        timer_.async_wait(
            [self = shared_from_this(), id = id_](asio::error_code ec) {
                if (!ec && self->pool_ != nullptr && id == self->id_ &&
                    !self->is_idle_)
                    self->fail(self->connected_ ? exchange_end::timed_out
                                                : exchange_end::connect_failed);
            });
    }

    void fail(exchange_end end)
    {
        if (pool_ == nullptr || on_end_ == nullptr)
            return;
        auto const self = shared_from_this();
        auto on_end = std::exchange(on_end_, nullptr);
        pool_->exchanges_.erase(id_);
        close();
        on_end(exchange_result{end, {}, reused_});
    }

    detail* pool_;
    std::string address_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    std::array<char, 4096> input_{};
    std::uint64_t id_ = 0;
    exchange_call call_;
    callback on_end_;
    std::optional<answer_parser> parser_;
    time_point ends_at_{};
    time_point idle_since_{};
    duration idle_limit_ = default_idle;
    duration idle_before_{};
    bool connected_ = false;
    bool reused_ = false;
    bool is_idle_ = false;
    bool reading_ = false;
    bool writing_ = false;
    bool write_failed_ = false;
    int skipped_ = 0;
};

connection_pool::detail::~detail()
{
    for (auto& [id, it] : exchanges_)
        it->close();
    for (auto& [address, list] : idle_)
        for (auto& it : list)
            it->close();
}

std::uint64_t connection_pool::detail::start(
    exchange_call call, callback on_end)
{
    auto const id = ++last_id_;
    auto it = take_idle(call.address, std::min(call.longest_idle, safe_idle()));
    if (it == nullptr)
        it = std::make_shared<connection>(*this, call.address);
    exchanges_.emplace(id, it);
    it->begin(id, std::move(call), std::move(on_end));
    return id;
}

void connection_pool::detail::cancel(std::uint64_t id)
{
    auto const it = exchanges_.find(id);
    if (it == exchanges_.end())
        return;
    auto const held = it->second;
    exchanges_.erase(it);
    held->close();
}

connection_pool::detail::connection_pointer connection_pool::detail::take_idle(
    std::string const& address, duration longest_idle)
{
    auto const list = idle_.find(address);
    if (list == idle_.end() || list->second.empty())
        return nullptr;
    // The one that was used last is the least likely to be closed.
    auto it = list->second.back();
    auto const now = boottime_clock::now();
    if (now >= it->expires_at() || now - it->idle_since() > longest_idle)
        return nullptr;
    list->second.pop_back();
    return it;
}

void connection_pool::detail::keep(connection_pointer it)
{
    auto& list = idle_[it->address()];
    it->rest();
    list.push_back(std::move(it));
    if (list.size() <= most_idle_each)
        return;
    auto const oldest = list.front();
    list.erase(list.begin());
    oldest->close();
}

void connection_pool::detail::drop_idle(connection_pointer const& it)
{
    auto const list = idle_.find(it->address());
    if (list == idle_.end())
        return;
    std::erase(list->second, it);
    if (list->second.empty())
        idle_.erase(list);
}

void connection_pool::detail::note_kept_loss(duration idle)
{
    auto const now = boottime_clock::now();
    auto const before = now < safe_until_ ? safe_idle_ : duration::max();
    safe_idle_ = std::min(before, idle / 2);
    safe_until_ = now + loss_memory;
}

void connection_pool::detail::sweep()
{
    auto const now = boottime_clock::now();
    std::vector<connection_pointer> expired;
    for (auto& [address, list] : idle_)
        for (auto const& it : list)
            if (now >= it->expires_at())
                expired.push_back(it);
    for (auto const& it : expired) {
        drop_idle(it);
        it->close();
    }
}

connection_pool::connection_pool(asio::io_context& context)
    : detail_(std::make_unique<detail>(context))
{
}

connection_pool::~connection_pool() = default;

std::uint64_t connection_pool::start(exchange_call call, callback on_end)
{
    return detail_->start(std::move(call), std::move(on_end));
}

void connection_pool::cancel(std::uint64_t id)
{
    detail_->cancel(id);
}

bool connection_pool::has_idle(std::string const& address) const
{
    return detail_->has_idle(address);
}

void connection_pool::sweep()
{
    detail_->sweep();
}

duration connection_pool::safe_idle() const
{
    return detail_->safe_idle();
}

} // namespace pomelohinge
