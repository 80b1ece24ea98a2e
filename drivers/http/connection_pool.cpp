#include "drivers/http/connection_pool.hpp"

#include "core/log.hpp"
#include "drivers/http/answer_parser.hpp"
#include "drivers/http/curl_loop.hpp"
#include "drivers/http/endpoint.hpp"
#include "drivers/http/socket_error.hpp"
#include "servers/selection/connection_reuse.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/strings/numbers.h>
#include <algorithm>
#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <cerrno>
#include <sys/socket.h>
#include <vector>

namespace pomelohinge {
namespace {

using tcp = asio::ip::tcp;

/// A connection inside a region is established within a few milliseconds. If
/// this timeout passes, the machine has no power or the link is broken.
constexpr duration connect_timeout = std::chrono::milliseconds(350);

/// Limit on idle connections per address.
constexpr std::size_t max_idle_per_address = 8;

/// Limit on the remembered addresses of targets whose answers lack a name.
constexpr std::size_t max_unnamed_addresses = 10'000;

/// How long connections to such a target are not reused.
constexpr duration unnamed_retention = std::chrono::minutes(5);

/// Idle timeout of connections to upstreams that state none.
constexpr duration default_idle_timeout = std::chrono::seconds(4);

/// Subtracted from the idle timeout that an upstream states, so that the pool
/// stops using a connection before the upstream closes it.
constexpr duration idle_timeout_margin = std::chrono::milliseconds(1000);

/// An answer is charged to the buffer budget once it needs more than this, so
/// that small answers get through whatever large ones hold.
constexpr std::size_t max_uncharged_bytes = 16 << 10;

/// Limit on the answers to other requests that one exchange skips. After a
/// further one, the exchange fails and its connection is closed.
constexpr int max_skipped_answers = 64;

/// The idle timeout that the header `Keep-Alive: timeout=N` states, with N in
/// seconds; `nullopt` if there is none.
std::optional<duration> stated_idle_timeout(upstream_answer const& answer)
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
    detail(asio::io_context& context, buffer_budget& buffers)
        : context_(context), buffers_(buffers)
    {
    }

    ~detail();

    std::uint64_t start(exchange_call call, callback on_end);
    void cancel(std::uint64_t id);
    void close_expired();

    bool has_idle_connection(std::string const& address) const
    {
        auto const it = idle_.find(address);
        return it != idle_.end() && !it->second.empty();
    }

private:
    class connection;
    using connection_pointer = std::shared_ptr<connection>;

    connection_pointer take_idle(exchange_call const& call);
    void keep_idle(connection_pointer it);
    void remove_idle(connection_pointer const& it);

    /// Records that a target has left an answer without a name, and closes its
    /// idle connections, since they are not reused.
    void record_unnamed(std::string const& address);

    /// Whether the target does not name the request in each of its answers.
    bool leaves_unnamed(std::string const& address) const
    {
        auto const it = unnamed_.find(address);
        return it != unnamed_.end() &&
            boottime_clock::now() - it->second < unnamed_retention;
    }

    asio::io_context& context_;
    buffer_budget& buffers_;
    std::uint64_t last_id_ = 0;
    std::uint64_t last_connection_ = 0;
    absl::flat_hash_map<std::uint64_t, connection_pointer> exchanges_;
    absl::flat_hash_map<std::string, std::vector<connection_pointer>> idle_;
    connection_reuse reuse_;
    /// Addresses of targets that have left an answer without a name, and when
    /// last. Their connections are not reused. Cleared when it is full.
    absl::flat_hash_map<std::string, time_point> unnamed_;
};

/// One connection. The pool and the pending operations on the socket share
/// ownership.
class connection_pool::detail::connection
    : public std::enable_shared_from_this<connection>
{
public:
    connection(detail& pool, std::string address)
        : pool_(&pool), number_(++pool.last_connection_),
          address_(std::move(address)), socket_(pool.context_),
          timer_(pool.context_)
    {
    }

    std::string const& address() const { return address_; }
    bool can_carry(std::string_view request_id) const
    {
        return history_.can_carry(request_id);
    }
    std::uint64_t id() const { return id_; }
    time_point idle_since() const { return idle_since_; }
    time_point expires_at() const { return idle_since_ + idle_timeout_; }

    /// Whether the upstream has neither closed the connection nor sent bytes
    /// while it was idle. The pending read may not have reported that yet.
    bool is_usable()
    {
        char byte = 0;
        return ::recv(socket_.native_handle(), &byte, 1,
                   MSG_PEEK | MSG_DONTWAIT) < 0 &&
            (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    /// Starts an exchange; connects first unless the connection is reused.
    void begin(std::uint64_t id, exchange_call call, callback on_end)
    {
        id_ = id;
        call_ = std::move(call);
        on_end_ = std::move(on_end);
        idle_duration_ = is_connected_ ? boottime_clock::now() - idle_since_
                                       : duration::zero();
        is_idle_ = false;
        skipped_answers_ = 0;
        history_.begin_request(call_.request_id);
        parser_.emplace(call_.is_head, call_.max_answer_bytes);
        deadline_ = boottime_clock::now() + call_.timeout;
        if (is_connected_)
            return write();
        connect();
    }

    /// Marks the connection as idle and keeps reading, to detect that the
    /// upstream closes it or sends unrequested bytes; both make it unusable.
    void become_idle()
    {
        is_idle_ = true;
        idle_since_ = boottime_clock::now();
        timer_.cancel();
        if (!is_reading_)
            read();
    }

    void close()
    {
        asio::error_code ec;
        socket_.close(ec);
        timer_.cancel();
        is_connected_ = false;
        pool_ = nullptr;
        on_end_ = nullptr;
        charge_ = {};
        parser_.reset();
    }

private:
    void connect()
    {
        auto const endpoint = parse_endpoint(address_);
        if (!endpoint)
            return fail_later(exchange_end::connect_failed);
        asio::error_code ec;
        socket_.open(tcp::v4(), ec);
        if (ec)
            return fail_later(exchange_end::connect_failed);
        socket_.set_option(tcp::no_delay(true), ec);
        start_timer(std::min(connect_timeout, call_.timeout));
        socket_.async_connect(
            *endpoint, [self = shared_from_this()](asio::error_code ec) {
                self->on_connected(ec);
            });
    }

    void fail_later(exchange_end end)
    {
        asio::post(socket_.get_executor(),
            [self = shared_from_this(), end] { self->fail(end); });
    }

    void on_connected(asio::error_code ec)
    {
        if (pool_ == nullptr)
            return;
        if (ec)
            return fail(exchange_end::connect_failed);
        is_connected_ = true;
        write();
    }

    void write()
    {
        start_timer(deadline_ - boottime_clock::now());
        is_writing_ = true;
        std::array<asio::const_buffer, 2> const buffers{
            asio::buffer(call_.head),
            asio::buffer(std::string_view(call_.body))};
        asio::async_write(socket_, buffers,
            [self = shared_from_this(), id = id_,
                body = std::exchange(call_.body, {})](asio::error_code ec,
                std::size_t) { self->on_written(id, ec); });
        if (!is_reading_)
            read();
    }

    void on_written(std::uint64_t id, asio::error_code ec)
    {
        if (pool_ == nullptr || id != id_)
            return;
        is_writing_ = false;
        // The target may have answered nevertheless; the read handler decides
        // how the exchange ends.
        write_failed_ = static_cast<bool>(ec);
    }

    void read()
    {
        is_reading_ = true;
        socket_.async_read_some(asio::buffer(input_),
            [self = shared_from_this()](asio::error_code ec, std::size_t n) {
                self->is_reading_ = false;
                self->on_read(ec, n);
            });
    }

    void on_read(asio::error_code ec, std::size_t n)
    {
        if (pool_ == nullptr)
            return;
        if (is_idle_) {
            auto const self = shared_from_this();
            pool_->remove_idle(self);
            return close();
        }
        if (ec)
            return on_read_error(ec);
        parse(std::string_view(input_.data(), n));
    }

    void parse(std::string_view bytes)
    {
        std::size_t consumed = 0;
        switch (parser_->parse(bytes, consumed)) {
        case answer_parser::progress::incomplete:
            return read_more();
        case answer_parser::progress::unparsable:
            return fail(exchange_end::unparsable);
        case answer_parser::progress::too_large:
            return fail(exchange_end::too_large);
        case answer_parser::progress::complete:
            return on_answer(bytes.substr(consumed));
        }
    }

    /// Reads on once there is room for what the answer needs.
    void read_more()
    {
        auto const bytes = parser_->held_bytes();
        if (bytes > max_uncharged_bytes && !charge_)
            charge_ = pool_->buffers_.open(address_);
        bool const has_room =
            charge_.grow(bytes, [self = shared_from_this(), id = id_] {
                asio::post(self->socket_.get_executor(), [self, id] {
                    if (self->on_end_ != nullptr && id == self->id_)
                        self->read();
                });
            });
        if (has_room)
            read();
    }

    void on_answer(std::string_view rest)
    {
        auto const owner = owner_of(parser_->answer());
        auto const verdict = history_.judge(owner, call_.names_required);
        if (verdict != answer_verdict::accepted)
            log(log_event::answer_skipped,
                {{"request", call_.request_id}, {"address", address_},
                    {"connection", number_},
                    {"status", parser_->answer().status},
                    {"owner", to_name(owner)}});
        if (owner == answer_owner::unnamed)
            pool_->record_unnamed(address_);
        if (verdict == answer_verdict::rejected)
            return fail(exchange_end::unparsable);
        if (verdict == answer_verdict::skipped)
            return skip(rest);
        // A copy of an answer without a name, or of one to HEAD, whose body it
        // lacks, could not be told from the answer to the next request.
        bool const has_distinct_copies =
            owner == answer_owner::current && !call_.is_head;
        bool const reusable = parser_->keeps_alive() && rest.empty() &&
            !is_writing_ && !write_failed_ && has_distinct_copies &&
            !history_.is_full() && !pool_->leaves_unnamed(address_);
        auto answer = std::move(parser_->answer());
        charge_.complete();
        answer.charge = std::move(charge_);
        idle_timeout_ = stated_idle_timeout(answer).value_or(
                            default_idle_timeout + idle_timeout_margin) -
            idle_timeout_margin;
        record_use(false);
        auto* const pool = pool_;
        auto const self = shared_from_this();
        exchange_result result{
            exchange_end::answered, std::move(answer), current_use(owner)};
        auto on_end = std::exchange(on_end_, nullptr);
        pool->exchanges_.erase(id_);
        if (reusable && idle_timeout_ > duration::zero())
            pool->keep_idle(self);
        else
            close();
        on_end(std::move(result));
    }

    answer_owner owner_of(upstream_answer const& answer) const
    {
        return history_.owner_of(
            call_.named_request ? call_.named_request(answer) : "");
    }

    connection_use current_use(answer_owner owner = answer_owner::unnamed) const
    {
        return {number_, history_.earlier_requests(),
            static_cast<std::size_t>(skipped_answers_), owner};
    }

    /// Records whether the connection ended without an answer. Returns whether
    /// the target has probably closed it while it was idle.
    bool record_use(bool lost)
    {
        if (history_.earlier_requests() > 0)
            return pool_->reuse_.record_reused(
                lost, idle_duration_, boottime_clock::now());
        pool_->reuse_.record_new(lost);
        return false;
    }

    /// Skips an answer to an earlier request.
    void skip(std::string_view rest)
    {
        if (++skipped_answers_ > max_skipped_answers || !parser_->keeps_alive())
            return fail(exchange_end::unparsable);
        parser_.emplace(call_.is_head, call_.max_answer_bytes);
        charge_ = {};
        if (rest.empty())
            return read();
        std::string const bytes(rest);
        parse(bytes);
    }

    /// The end of the input completes an answer that states no length only if
    /// the request has been written: a write that meets a reset consumes the
    /// error, and the read after it sees a plain end of the input.
    void on_read_error(asio::error_code ec)
    {
        bool const may_be_reset = is_writing_ || write_failed_ ||
            has_pending_error(socket_.native_handle());
        if (ec == asio::error::eof && !may_be_reset &&
            parser_->end_of_input() == answer_parser::progress::complete)
            return on_answer({});
        bool const was_closed_while_idle = record_use(!parser_->has_input());
        fail(was_closed_while_idle ? exchange_end::kept_lost
                                   : exchange_end::lost);
    }

    void start_timer(duration wait)
    {
        timer_.expires_after(std::max(wait, duration::zero()));
        // A wait that has ended already is not cancelled any more.
        timer_.async_wait([self = shared_from_this(), number = ++last_wait_](
                              asio::error_code ec) {
            if (!ec && self->pool_ != nullptr && number == self->last_wait_ &&
                !self->is_idle_)
                self->fail(self->is_connected_ ? exchange_end::timed_out
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
        on_end(exchange_result{end, {}, current_use()});
    }

    detail* pool_;
    std::uint64_t number_;
    std::string address_;
    tcp::socket socket_;
    asio::steady_timer timer_;
    /// The latest wait for `timer_`.
    std::uint64_t last_wait_ = 0;
    std::array<char, 4096> input_{};
    std::uint64_t id_ = 0;
    exchange_call call_;
    callback on_end_;
    std::optional<answer_parser> parser_;
    buffer_charge charge_;
    connection_history history_;
    time_point deadline_{};
    time_point idle_since_{};
    duration idle_timeout_ = default_idle_timeout;
    duration idle_duration_{};
    bool is_connected_ = false;
    bool is_idle_ = false;
    bool is_reading_ = false;
    bool is_writing_ = false;
    bool write_failed_ = false;
    int skipped_answers_ = 0;
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
    auto it = take_idle(call);
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
    auto const connection = it->second;
    exchanges_.erase(it);
    connection->close();
}

connection_pool::detail::connection_pointer connection_pool::detail::take_idle(
    exchange_call const& call)
{
    auto const list = idle_.find(call.address);
    // The body of a copy of an earlier answer would be read as the answer to
    // HEAD.
    if (list == idle_.end() || call.is_head || leaves_unnamed(call.address))
        return nullptr;
    auto& connections = list->second;
    auto const now = boottime_clock::now();
    auto const max_idle = std::min(call.max_idle, reuse_.max_idle(now));
    // The most recently used connection is the least likely to be closed by
    // the upstream.
    for (auto n = connections.size(); n > 0; --n) {
        auto it = connections[n - 1];
        if (now >= it->expires_at() || now - it->idle_since() > max_idle)
            return nullptr;
        if (!it->can_carry(call.request_id))
            continue;
        connections.erase(
            connections.begin() + static_cast<std::ptrdiff_t>(n - 1));
        if (it->is_usable())
            return it;
        it->close();
    }
    return nullptr;
}

void connection_pool::detail::keep_idle(connection_pointer it)
{
    auto& list = idle_[it->address()];
    it->become_idle();
    list.push_back(std::move(it));
    if (list.size() <= max_idle_per_address)
        return;
    auto const oldest = list.front();
    list.erase(list.begin());
    oldest->close();
}

void connection_pool::detail::record_unnamed(std::string const& address)
{
    if (unnamed_.size() >= max_unnamed_addresses)
        unnamed_.clear();
    unnamed_[address] = boottime_clock::now();
    auto const list = idle_.extract(address);
    if (list.empty())
        return;
    for (auto const& it : list.mapped())
        it->close();
}

void connection_pool::detail::remove_idle(connection_pointer const& it)
{
    auto const list = idle_.find(it->address());
    if (list == idle_.end())
        return;
    std::erase(list->second, it);
    if (list->second.empty())
        idle_.erase(list);
}

void connection_pool::detail::close_expired()
{
    auto const now = boottime_clock::now();
    std::vector<connection_pointer> expired;
    for (auto& [address, list] : idle_)
        for (auto const& it : list)
            if (now >= it->expires_at())
                expired.push_back(it);
    for (auto const& it : expired) {
        remove_idle(it);
        it->close();
    }
}

connection_pool::connection_pool(
    asio::io_context& context, buffer_budget& buffers)
    : detail_(std::make_unique<detail>(context, buffers))
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

bool connection_pool::has_idle_connection(std::string const& address) const
{
    return detail_->has_idle_connection(address);
}

void connection_pool::close_expired()
{
    detail_->close_expired();
}

} // namespace pomelohinge
